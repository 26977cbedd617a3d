/** Reads resource usage of a process from /proc. */
import { readFile } from 'node:fs/promises';

/** Clock ticks (USER_HZ) per second, the unit of processor time in /proc. */
const TICKS_PER_SECOND = 100;

/** Positions of utime and stime in /proc/PID/stat, counted from 0 at the field after the process name. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

const BYTES_PER_KIB = 1_024;

/** Resource usage of a process since it started; memory is the current value. */
export interface ProcessUse {
  /** User and system processor time, in seconds. */
  readonly cpuSeconds: number;
  /** Resident memory, in bytes. */
  readonly rssBytes: number;
  /** Part of it that is not in files, so that the system cannot take it back, in bytes. */
  readonly anonymousBytes: number;
  /** Bytes read and written, files and sockets together. */
  readonly ioBytes: number;
}

function field(text: string, name: string): number {
  return Number(new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(text)?.[1] ?? 0);
}

/**
 * Reads the resource usage of a process.
 * @param pid - process id
 * @returns usage so far
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
    anonymousBytes: field(status ?? '', 'RssAnon') * BYTES_PER_KIB,
    ioBytes: field(io ?? '', 'rchar') + field(io ?? '', 'wchar'),
  };
}
