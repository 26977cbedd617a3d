/** A caller inside the process, for tests of the relay. */
import { CallerReply } from '../src/gateway/reply.js';

import type { AnswerHead } from '../src/gateway/protocol.js';

/** Keeps what a caller would have received. */
export class MemoryReply extends CallerReply {
  isBegun = false;

  isDisconnected = false;

  status = 0;

  headers: Readonly<Record<string, string>> = {};

  /** Body as text; a whole answer ends with "+", one that was broken off with "!". */
  text = '';

  /** Whether the caller takes more at once. */
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

  /** Closes the caller's connection. */
  disconnect(): void {
    this.isDisconnected = true;
    this.onDisconnect();
  }
}
