/** Configuration documents of a test fleet. */
import { sha256 } from '../src/kernel/index.js';

import type { Documents } from '../src/config/index.js';

/** API key of the test workspace. */
export const API_KEY = 'key-of-the-test-workspace';

/** Base URLs of the stand-ins. */
export interface FleetUrls {
  readonly objects: string;
  readonly instances: string;
  readonly engines: readonly string[];
  readonly service: string;
}

/**
 * Builds the configuration documents of a test fleet.
 * @param urls - base URLs of the stand-ins
 * @returns documents with one workspace, one budget, a model route and two service routes
 */
export function testDocuments(urls: FleetUrls): Documents {
  const common = { dataCentre: 'dc-1', state: 'serving', checksFencing: false } as const;
  const route = {
    priority: 'normal',
    unitsPerCall: 1,
    defaultOutputTokens: 64,
    maxOutputTokens: 4_096,
    retries: 2,
    firstByteMs: 3_000,
    silenceMs: 2_000,
    queueMs: 2_000,
  } as const;
  return {
    workspaces: [
      { name: 'shop', state: 'open', keys: [{ sha256: sha256(API_KEY), budget: 'main' }] },
    ],
    budgets: [{ name: 'main', workspace: 'shop' }],
    plans: [],
    routes: [
      { ...route, name: 'drafts', kind: 'model', idempotent: true },
      { ...route, name: 'dispatch', kind: 'service', idempotent: false },
      { ...route, name: 'lookup', kind: 'service', idempotent: true },
    ],
    upstreams: [
      ...urls.engines.map((url, index) => ({
        ...common,
        name: `engine-${index + 1}`,
        route: 'drafts',
        url,
        concurrency: 512,
      })),
      { ...common, name: 'desk-1', route: 'dispatch', url: urls.service, concurrency: 64 },
      { ...common, name: 'desk-2', route: 'lookup', url: urls.service, concurrency: 64 },
    ],
  };
}
