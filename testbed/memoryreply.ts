/** In-memory caller connection, for tests of the code that relays answers. */
import { CallerReply } from '../src/gateway/reply.js';

import type { AnswerHead } from '../src/gateway/protocol.js';

/** Records the answer that a caller would receive. */
export class MemoryReply extends CallerReply {
  isBegun = false;

  isDisconnected = false;

  status = 0;

  headers: Readonly<Record<string, string>> = {};

  /** Body as text; "+" is appended when a streamed answer ends, "!" when it is aborted. */
  text = '';

  /** Return value of write(); false simulates a caller that reads too slowly. */
  acceptsWrites = true;

  override begin({ status }: AnswerHead): void {
    this.isBegun = true;
    this.status = status;
  }

  override write(bytes: Buffer): boolean {
    this.text += bytes.toString('latin1');
    return this.acceptsWrites;
  }

  override end(): void {
    this.text += '+';
  }

  override abortAnswer(): void {
    this.text += '!';
  }

  override answer(status: number, headers: Readonly<Record<string, string>>, body: string): void {
    this.status = status;
    this.headers = headers;
    this.text = body;
  }

  /** Simulates that the caller closes its connection. */
  disconnect(): void {
    this.isDisconnected = true;
    this.onDisconnect();
  }
}
