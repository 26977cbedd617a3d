/** Holdings of one daemon: its local balance of units for each prepaid workspace. */
import { netSpent, openHolding, reserveUnits, settleUnits } from '../allowance/index.js';
import { available, counterOf, subtractUnused, recordUse, receiveLoan } from '../budget/index.js';

import type { AllowanceHolding, AllowancePolicy } from '../allowance/index.js';
import type { PeerCounter } from '../budget/index.js';
import type { Clock } from '../kernel/index.js';

/** Units of all workspaces at one daemon, by purpose. */
export interface HoldingTotals {
  /** Available units of the workspaces of which this daemon is a holder. */
  readonly asHolder: number;
  /** Available units of other workspaces: left over from loans for requests that then used less. */
  readonly leftOver: number;
  /** Units reserved for the worst cases of running requests. */
  readonly reserved: number;
}

/** Keeps the holdings, and the number of units that waiting requests need. */
export class Holdings {
  readonly #byWorkspace = new Map<string, AllowanceHolding>();

  /**
   * Units that waiting requests need, by workspace. Requests at other daemons are included while this
   * daemon draws units for them.
   */
  readonly #missing = new Map<string, number>();

  /**
   * Whether the rows of this daemon are closed or about to be: no more units may be reserved, lent or
   * drawn.
   */
  isClosed = false;

  /**
   * Creates empty holdings.
   * @param policy - determines how many units of a workspace are kept available
   * @param clock - time
   */
  constructor(
    private readonly policy: (workspace: string) => AllowancePolicy,
    private readonly clock: Clock,
  ) {}

  /** Workspaces with a holding. */
  get workspaces(): readonly string[] {
    return [...this.#byWorkspace.keys()];
  }

  /**
   * Returns the holding of a workspace.
   * @param workspace - the workspace
   * @returns its holding; a new, empty one if there is none
   */
  of(workspace: string): AllowanceHolding {
    const found = this.#byWorkspace.get(workspace);
    if (found) return found;
    const holding = openHolding(workspace, this.policy(workspace), this.clock.now());
    this.#byWorkspace.set(workspace, holding);
    return holding;
  }

  /**
   * Replaces a holding.
   * @param workspace - the workspace
   * @param holding - its new holding
   */
  set(workspace: string, holding: AllowanceHolding): void {
    this.#byWorkspace.set(workspace, holding);
  }

  /**
   * Reserves units if enough are available locally.
   * @param workspace - workspace that pays
   * @param units - worst-case units of a request
   * @returns whether they are reserved
   */
  tryReserve(workspace: string, units: number): boolean {
    if (this.isClosed) return false;
    const { holding, accepted } = reserveUnits(this.of(workspace), units, this.clock.now());
    this.set(workspace, holding);
    return accepted;
  }

  /**
   * Settles a reservation.
   * @param workspace - workspace that pays
   * @param reserved - units that were reserved
   * @param used - units that were used
   */
  settle(workspace: string, reserved: number, used: number): void {
    const settled = settleUnits(this.of(workspace), reserved, used, this.clock.now());
    this.set(workspace, settled);
  }

  /**
   * Adds units lent to a daemon that is no holder to the measured demand of this one, as a request there
   * needs them.
   * @param workspace - workspace that pays
   * @param units - units that were lent
   */
  noteLent(workspace: string, units: number): void {
    const holding = this.of(workspace);
    const demand = recordUse(holding.demand, units, this.clock.now());
    this.set(workspace, { ...holding, demand });
  }

  /**
   * Records units borrowed from or transferred by a peer.
   * @param workspace - workspace that pays
   * @param loan - lender and the total number of units that it has lent to this daemon
   * @returns units gained since the last known total; 0 if this total is not higher
   */
  noteBorrowed(workspace: string, loan: PeerCounter): number {
    const holding = this.of(workspace);
    const before = counterOf(holding.escrow.borrowed, loan.peer);
    this.set(workspace, { ...holding, escrow: receiveLoan(holding.escrow, loan) });
    return Math.max(0, loan.units - before);
  }

  /**
   * Deducts units that a borrower has returned unused from the measured demand.
   * @param workspace - workspace that pays
   * @param units - units that were returned
   */
  noteReturned(workspace: string, units: number): void {
    const holding = this.of(workspace);
    const demand = subtractUnused(holding.demand, units, this.clock.now());
    this.set(workspace, { ...holding, demand });
  }

  /**
   * Returns the units that waiting requests need in total.
   * @param workspace - the workspace
   * @returns units
   */
  missing(workspace: string): number {
    return this.#missing.get(workspace) ?? 0;
  }

  /**
   * Adjusts the units that waiting requests need, when a request starts or stops waiting.
   * @param workspace - the workspace
   * @param change - units that the request needs; negative when it stops waiting
   */
  adjustMissing(workspace: string, change: number): void {
    this.#missing.set(workspace, Math.max(0, this.missing(workspace) + change));
  }

  /**
   * Returns the units that may be lent: all available ones, borrowed ones included. Borrowed units may be
   * lent again because they already count as spent in the row of the daemon that lent them first.
   * @param workspace - the workspace
   * @returns units
   */
  lendableUnits(workspace: string): number {
    return available(this.of(workspace).escrow);
  }

  /**
   * Adds up the units of all workspaces.
   * @param isHolder - returns whether this daemon is a holder of a workspace
   * @returns units by purpose
   */
  totals(isHolder: (workspace: string) => boolean): HoldingTotals {
    const totals = { asHolder: 0, leftOver: 0, reserved: 0 };
    this.#byWorkspace.forEach(({ escrow }, workspace) => {
      totals[isHolder(workspace) ? 'asHolder' : 'leftOver'] += available(escrow);
      totals.reserved += escrow.reserved;
    });
    return totals;
  }

  /**
   * Returns the units that count as spent if the rows are closed now.
   * @returns units by workspace; running requests count with their worst-case units
   */
  spentAtClose(): ReadonlyMap<string, number> {
    return new Map(
      [...this.#byWorkspace].map(([workspace, { escrow }]) => [
        workspace,
        netSpent(escrow) + escrow.reserved,
      ]),
    );
  }
}
