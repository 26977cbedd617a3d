import test from 'ava';

import type { ExecutionContext } from 'ava';
import { AllowanceFleet, WORKSPACE } from '../../../testbed/allowancefleet.js';

import type { FleetMember } from '../../../testbed/allowancefleet.js';

/** Units that the workspace has paid for. */
const PAID = 10_000;

/** Units of one request. */
const UNITS = 10;

/** Requests at each of the two daemons. */
const REQUESTS = 20;

function memberOf(fleet: AllowanceFleet, name: string): FleetMember {
  const member = fleet.members.get(name);
  if (!member) throw new Error(`no member ${name}`);
  return member;
}

function isFenced({ recorder }: FleetMember): boolean {
  return recorder.timeline.list().some(({ name }) => name === 'allowanceFenced');
}

/** Serves a request at each daemon in turn; returns the number of those that were admitted at each. */
async function serveInTurn(
  fleet: AllowanceFleet,
  members: readonly FleetMember[],
): Promise<readonly number[]> {
  const admitted = members.map(() => 0);
  for (let round = 0; round < REQUESTS; round += 1) {
    for (const [index, member] of members.entries()) {
      // The requests run one at a time.
      // eslint-disable-next-line no-await-in-loop
      if (await fleet.serve(member, UNITS, UNITS)) admitted[index] = (admitted[index] ?? 0) + 1;
      member.allowances.refresh();
    }
  }
  return admitted;
}

interface Row {
  readonly name: string;
  /** Whether the predecessor has drawn units before its successor starts. */
  readonly hasDrawn: boolean;
  readonly isStopping: boolean;
}

const ROWS: readonly Row[] = [
  { name: 'a predecessor that serves', hasDrawn: true, isStopping: false },
  { name: 'a predecessor in a graceful stop', hasDrawn: true, isStopping: true },
  {
    name: 'a predecessor that draws its first units in a graceful stop',
    hasDrawn: false,
    isStopping: true,
  },
  {
    name: 'a predecessor that draws its first units as it serves',
    hasDrawn: false,
    isStopping: false,
  },
];

async function overlap(t: ExecutionContext, { hasDrawn, isStopping }: Row): Promise<void> {
  const fleet = new AllowanceFleet({ dataCentres: ['x'], perDataCentre: 1, paid: PAID });
  const predecessor = memberOf(fleet, 'x-0');
  if (hasDrawn) t.true(await fleet.serve(predecessor, UNITS, UNITS));
  if (isStopping) fleet.stopping.add(predecessor.self);
  fleet.start('x-0');
  const successor = memberOf(fleet, 'x-0');
  t.true(await fleet.serve(successor, UNITS, UNITS));
  const [, served] = await serveInTurn(fleet, [predecessor, successor]);
  t.false(isFenced(successor), 'the successor was fenced');
  t.is(served, REQUESTS);
  t.true(fleet.spent <= PAID, `${fleet.spent} units of ${WORKSPACE}`);
  await Promise.all([predecessor, successor].map(({ allowances }) => allowances.stop()));
}

ROWS.forEach((row) => {
  test(`${row.name} does not end the successor under its name`, overlap, row);
});
