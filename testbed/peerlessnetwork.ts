/** A peer network of a daemon that is alone, for tests of tasks without processes. */
import { Err, failure } from '../src/kernel/index.js';
import { PeerNetwork } from '../src/link/index.js';

import type { Failure, Result } from '../src/kernel/index.js';
import type { PeerMessageOf, PeerMessageType, PeerRequest } from '../src/link/index.js';
import type { Instance } from '../src/store/index.js';

/** A network without peers. */
export class PeerlessNetwork extends PeerNetwork {
  override async request<Reply extends PeerMessageType>(
    req: PeerRequest<Reply>,
  ): Promise<Result<PeerMessageOf<Reply>, Failure>> {
    return Err(failure('peer-unreachable', req.to));
  }

  override handle(): void {
    // Nobody asks.
  }

  override peers(): readonly Instance[] {
    return [];
  }

  override incarnationOf(): undefined {
    return undefined;
  }
}
