/** Reads what the operating system counts for a process. */
import { readFile } from 'node:fs/promises';

/** Clock ticks in one second, as Linux reports processor time. */
const TICKS_PER_SECOND = 100;

/** Fields of /proc/PID/stat that follow the process name. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

const BYTES_PER_KIB = 1_024;

/** What a process has used so far. */
export interface ProcessUse {
  /** Processor time, in seconds. */
  readonly cpuSeconds: number;
  /** Resident memory, in bytes. */
  readonly rssBytes: number;
  /** Bytes read and written, files and sockets together. */
  readonly ioBytes: number;
}

function field(text: string, name: string): number {
  return Number(new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(text)?.[1] ?? 0);
}

/**
 * Reads the counters of a process.
 * @param pid - process id
 * @returns its use so far
 */
export async function readProcess(pid: number): Promise<ProcessUse> {
  const base = `/proc/${pid}`;
  const [stat, status, io] = await Promise.all(
    ['stat', 'status', 'io'].map((name) => readFile(`${base}/${name}`, 'utf8')),
  );
  const fields = (stat ?? '').slice((stat ?? '').lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  return {
    cpuSeconds: ticks / TICKS_PER_SECOND,
    rssBytes: field(status ?? '', 'VmRSS') * BYTES_PER_KIB,
    ioBytes: field(io ?? '', 'rchar') + field(io ?? '', 'wchar'),
  };
}
