/** Holdings of one daemon: its part of each prepaid workspace. */
import { netSpent, openHolding, reserveUnits, settleUnits } from '../allowance/index.js';
import { available, counterOf, subtractUnused, recordUse, receiveLoan } from '../budget/index.js';

import type { AllowanceHolding, AllowancePolicy } from '../allowance/index.js';
import type { PeerCounter } from '../budget/index.js';
import type { Clock } from '../kernel/index.js';

/** Units of all workspaces that one daemon has, by why it has them. */
export interface HoldingTotals {
  /** Ready at a daemon that keeps them for others. */
  readonly asHolder: number;
  /** Ready at a daemon that borrowed them for requests that needed less. */
  readonly leftOver: number;
  /** Worst cases of the requests that are running. */
  readonly reserved: number;
}

/** Keeps the holdings and what waiting requests lack. */
export class Holdings {
  readonly #byWorkspace = new Map<string, AllowanceHolding>();

  /** Units that waiting requests lack, by workspace. */
  readonly #missing = new Map<string, number>();

  /** Whether the rows of this daemon are closed: nothing may be spent, lent or drawn any more. */
  isClosed = false;

  /**
   * Creates empty holdings.
   * @param policy - how much is kept ready
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
   * Gives the holding of a workspace.
   * @param workspace - the workspace
   * @returns its holding, an empty one at first
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
   * @param holding - its holding
   */
  set(workspace: string, holding: AllowanceHolding): void {
    this.#byWorkspace.set(workspace, holding);
  }

  /**
   * Reserves if the units are at hand.
   * @param workspace - who pays
   * @param units - worst case of a request
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
   * @param workspace - who pays
   * @param reserved - units that were reserved
   * @param used - units that were used
   */
  settle(workspace: string, reserved: number, used: number): void {
    const settled = settleUnits(this.of(workspace), reserved, used, this.clock.now());
    this.set(workspace, settled);
  }

  /**
   * Takes note of units that a daemon which keeps none ready has borrowed for a request.
   * @param workspace - who pays
   * @param units - units
   */
  noteLent(workspace: string, units: number): void {
    const holding = this.of(workspace);
    const demand = recordUse(holding.demand, units, this.clock.now());
    this.set(workspace, { ...holding, demand });
  }

  /**
   * Takes note of a loan.
   * @param workspace - who pays
   * @param loan - lender and its counter for this daemon
   * @returns units that it brought; 0 for a counter that is known
   */
  noteBorrowed(workspace: string, loan: PeerCounter): number {
    const holding = this.of(workspace);
    const before = counterOf(holding.escrow.borrowed, loan.peer);
    this.set(workspace, { ...holding, escrow: receiveLoan(holding.escrow, loan) });
    return Math.max(0, loan.units - before);
  }

  /**
   * Takes note of units that came back from daemons which borrowed them.
   * @param workspace - who pays
   * @param units - units
   */
  noteReturned(workspace: string, units: number): void {
    const holding = this.of(workspace);
    const demand = subtractUnused(holding.demand, units, this.clock.now());
    this.set(workspace, { ...holding, demand });
  }

  /**
   * Gives what waiting requests lack.
   * @param workspace - the workspace
   * @returns units
   */
  missing(workspace: string): number {
    return this.#missing.get(workspace) ?? 0;
  }

  /**
   * Takes note of a request that begins or ends to wait.
   * @param workspace - the workspace
   * @param change - its units; negative when it no longer waits
   */
  adjustMissing(workspace: string, change: number): void {
    this.#missing.set(workspace, Math.max(0, this.missing(workspace) + change));
  }

  /**
   * Gives the units that may be lent. Borrowed ones may be lent on: they count as spent in the row of
   * the daemon that lent them first.
   * @param workspace - the workspace
   * @returns units
   */
  lendableUnits(workspace: string): number {
    return available(this.of(workspace).escrow);
  }

  /**
   * Adds up what is ready.
   * @param isHolder - whether this daemon keeps units of a workspace ready for others
   * @returns units by why this daemon has them
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
   * Gives what counts as spent when the rows are closed now.
   * @returns units by workspace; requests that still run count at their largest
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
