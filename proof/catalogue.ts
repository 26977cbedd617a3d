/** Registry of all proofs. */
import { DepartureProof } from './departure.js';
import { GracefulStopProof } from './gracefulstop.js';
import { AtMostOnceProof } from './atmostonce.js';
import { NotRunProof } from './notrun.js';
import { NoOverspendProof } from './nooverspend.js';
import { BilledOnceProof } from './billedonce.js';
import { ClosingProof } from './closing.js';
import { ConfigNeverRevertsProof } from './configneverreverts.js';
import { ServesWhileCutProof } from './serveswhilecut.js';
import { OwnAnswerProof } from './ownanswer.js';

import type { Proof } from './proof.js';

/** All proofs, in the order in which they run. */
export const PROOFS: readonly Proof[] = [
  new OwnAnswerProof(),
  new GracefulStopProof(),
  new DepartureProof(),
  new ClosingProof(),
  new NotRunProof(),
  new AtMostOnceProof(),
  new NoOverspendProof('no-overspend', 0),
  new NoOverspendProof('no-overspend-lost-answers', 0.2),
  new ServesWhileCutProof(),
  new BilledOnceProof(),
  new ConfigNeverRevertsProof(),
];
