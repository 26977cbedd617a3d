import test from 'ava';

import {
  declarePlan,
  isWorkspaceClosed,
  mayDispatchTo,
  mergePlans,
  MAX_CONFIRMATION_AGE_MS,
} from '../index.js';

import type { Confirmation, PlanPhase, StoredPlan } from '../index.js';

const UPSTREAM = { kind: 'upstream', name: 'p', upstream: 'engine-1', orders: ['unload'] } as const;
const DATE = '2026-12-04T06:00:00Z';
const WORKSPACE = { kind: 'workspace', name: 'w', workspace: 'shop', from: DATE } as const;
const FRESH: Confirmation = { confirmedAt: 10_000, now: 10_000 + MAX_CONFIRMATION_AGE_MS, wall: 0 };
const STALE: Confirmation = { ...FRESH, now: FRESH.now + 1 };

function stored(
  document: typeof UPSTREAM | typeof WORKSPACE,
  phase: PlanPhase,
  paused = false,
): StoredPlan {
  return { version: 1, plan: { ...declarePlan(document, 'entry-1~a'), phase, paused } };
}

const DISPATCH = [
  { name: 'declared, confirmed', phase: 'declared', at: FRESH, allowed: true },
  { name: 'armed, confirmed', phase: 'armed', at: FRESH, allowed: true },
  { name: 'declared, confirmation too old', phase: 'declared', at: STALE, allowed: false },
  { name: 'armed, confirmation too old', phase: 'armed', at: STALE, allowed: false },
  { name: 'leaving', phase: 'leaving', at: FRESH, allowed: false },
  { name: 'ordering', phase: 'ordering', at: FRESH, allowed: false },
  { name: 'done', phase: 'done', at: FRESH, allowed: false },
  { name: 'abandoned, confirmation too old', phase: 'abandoned', at: STALE, allowed: true },
] as const;

DISPATCH.forEach(({ name, phase, at, allowed }) => {
  test(`dispatch to an upstream with a plan: ${name}`, (t) => {
    const known = mergePlans(new Map(), [stored(UPSTREAM, phase)]);
    t.is(mayDispatchTo(known, 'engine-1', at), allowed);
    t.true(mayDispatchTo(known, 'engine-2', at), 'other upstreams stay in use during an outage');
  });
});

const BEFORE = Date.parse(DATE) - 1;
const CLOSED = [
  { name: 'before the closing time', phase: 'armed', wall: BEFORE, paused: false, closed: false },
  { name: 'at the closing time', phase: 'armed', wall: BEFORE + 1, paused: false, closed: true },
  {
    name: 'at the closing time, paused',
    phase: 'armed',
    wall: BEFORE + 1,
    paused: true,
    closed: false,
  },
  { name: 'by command', phase: 'leaving', wall: BEFORE, paused: false, closed: true },
  { name: 'abandoned', phase: 'abandoned', wall: BEFORE + 1, paused: false, closed: false },
] as const;

CLOSED.forEach(({ name, phase, wall, paused, closed }) => {
  test(`closing of a workspace: ${name}`, (t) => {
    const known = mergePlans(new Map(), [stored(WORKSPACE, phase, paused)]);
    t.is(isWorkspaceClosed(known, 'shop', { ...FRESH, wall }), closed);
    t.false(isWorkspaceClosed(known, 'other', { ...FRESH, wall }));
  });
});

test('a known plan is never replaced by an older version', (t) => {
  const newer = { ...stored(UPSTREAM, 'leaving'), version: 7 };
  const known = mergePlans(new Map(), [newer]);
  t.is(mergePlans(known, [{ ...stored(UPSTREAM, 'armed'), version: 6 }]).get('p'), newer);
});
