/** Derives from a caller's request what its placement depends on. */
import type { PlacementRequest } from '../route/index.js';
import type { Call } from './attempt.js';

/**
 * Builds the placement request. All prompt parts except the last one count as shared with other
 * requests.
 * @param call - the request of a caller
 * @returns what the placement depends on
 */
export function placementRequestOf({ head }: Call): PlacementRequest {
  const shared = head.prompt.slice(0, -1);
  const { promptTokens, outputTokens } = head.usage ?? { promptTokens: 0, outputTokens: 0 };
  return {
    sharedParts: shared,
    sharedTokens: shared.reduce((sum, { tokens }) => sum + tokens, 0),
    promptTokens,
    memoryTokens: promptTokens + outputTokens,
  };
}
