/** Peer network without peers, for tests of components without daemon processes. */
import { Err, failure } from '../src/kernel/index.js';
import { PeerNetwork } from '../src/link/index.js';

import type { Failure, Result } from '../src/kernel/index.js';
import type { PeerMessageOf, PeerMessageType, PeerRequest } from '../src/link/index.js';
import type { Instance } from '../src/store/index.js';

/** Fails every request with "peer-unreachable". */
export class PeerlessNetwork extends PeerNetwork {
  override async request<Reply extends PeerMessageType>(
    req: PeerRequest<Reply>,
  ): Promise<Result<PeerMessageOf<Reply>, Failure>> {
    return Err(failure('peer-unreachable', req.to));
  }

  override handle(): void {
    // There are no peers that could send requests.
  }

  override peers(): readonly Instance[] {
    return [];
  }

  override incarnationOf(): undefined {
    return undefined;
  }
}
