import test from 'ava';

import { allowedRegions, isAllowedIn } from '../homes.js';

const REGIONS = { a: 'north', b: 'north', c: 'south' };

interface Row {
  readonly title: string;
  readonly route: readonly string[];
  /** Undefined for a request without a workspace. */
  readonly workspace: readonly string[] | undefined;
  /** Data centres whose upstreams may serve the request; d has no region. */
  readonly allowed: string;
}

const ROWS: readonly Row[] = [
  { title: 'none are named', route: [], workspace: [], allowed: 'abcd' },
  { title: 'there is no workspace', route: [], workspace: undefined, allowed: 'abcd' },
  { title: 'those of the route', route: ['south'], workspace: undefined, allowed: 'c' },
  { title: 'those of the workspace', route: [], workspace: ['north'], allowed: 'ab' },
  { title: 'both', route: ['north', 'south'], workspace: ['south', 'east'], allowed: 'c' },
  { title: 'both, with none in common', route: ['north'], workspace: ['south'], allowed: '' },
  { title: 'one where there is no data centre', route: ['east'], workspace: [], allowed: '' },
];

ROWS.forEach(({ title, route, workspace, allowed }) => {
  test(`requests are served only in their homes: ${title}`, (t) => {
    const regions = allowedRegions({ homes: route }, workspace && { homes: workspace });
    const serving = ['a', 'b', 'c', 'd'].filter((name) => isAllowedIn(name, regions, REGIONS));
    t.is(serving.join(''), allowed);
  });
});
