/** Least open work: the baseline of the choice policies. */
import { ChoicePolicy } from './choice.js';

import type { UpstreamDocument } from '../config/index.js';
import type { ChoiceInput } from './choice.js';

/** Chooses the serving upstream with the fewest open requests of this daemon. */
export class LeastOpenPolicy extends ChoicePolicy {
  override choose(input: ChoiceInput): UpstreamDocument | undefined {
    const candidates = input.upstreams.filter(
      ({ name, state }) => state === 'serving' && !input.excluded.includes(name),
    );
    return candidates.reduce<UpstreamDocument | undefined>((best, candidate) => {
      if (!best) return candidate;
      return input.openAt(candidate.name) < input.openAt(best.name) ? candidate : best;
    }, undefined);
  }
}
