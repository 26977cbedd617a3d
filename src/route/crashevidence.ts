/** Finds the prompt parts that explain a series of crashes. */
import type { CrashReport, UnansweredPrompt } from './crashreports.js';

/** Number of crashes from which a part is rejected. */
export const MIN_CRASHES = 2;

/** The same for a part that was answered shortly before: frequent parts are on each upstream that crashes. */
const MIN_CRASHES_POPULAR = 3;

/**
 * Time within which crashes count as one, in milliseconds: upstreams that end together have another cause in
 * common than a request. A request that was sent after the first crash shows that the second one is another.
 */
const SAME_CAUSE_MS = 500;

/** A crash with requests whose prompts contain a certain part. */
export interface Evidence {
  readonly upstream: string;
  readonly at: number;
  /** When the last of these requests was sent, in milliseconds. */
  readonly sentAt: number;
  readonly prompts: readonly UnansweredPrompt[];
}

/** Parts that were unanswered in the same prompts of the same crashes. */
interface Candidate {
  readonly parts: readonly string[];
  readonly crashes: readonly Evidence[];
  /** Number of crashes with different causes. */
  readonly causes: number;
  readonly isPopular: boolean;
}

/** Parts that explain crashes. */
export interface Accusation extends Omit<Candidate, 'isPopular'> {
  /** These parts and all others that no crash tells apart from them. */
  readonly group: readonly string[];
}

/**
 * Collects the crashes of each part.
 * @param reports - at most one report of each crash
 * @returns crashes by part
 */
export function collectEvidence(reports: readonly CrashReport[]): Map<string, readonly Evidence[]> {
  const evidence = new Map<string, Evidence[]>();
  reports.forEach(({ upstream, at, prompts }) => {
    const carrying = new Map<string, UnansweredPrompt[]>();
    prompts.forEach((prompt) => {
      new Set(prompt.parts).forEach((part) => {
        const found = carrying.get(part);
        if (found) found.push(prompt);
        else carrying.set(part, [prompt]);
      });
    });
    carrying.forEach((found, part) => {
      const sentAt = Math.max(...found.map((prompt) => prompt.sentAt));
      const crashes = evidence.get(part) ?? [];
      crashes.push({ upstream, at, sentAt, prompts: found });
      evidence.set(part, crashes);
    });
  });
  return evidence;
}

/** Counts crashes that have different causes. */
function countCauses(evidence: readonly Evidence[]): number {
  let count = 0;
  let last = Number.NEGATIVE_INFINITY;
  [...evidence]
    .sort((a, b) => a.at - b.at)
    .forEach(({ at, sentAt }) => {
      if (count > 0 && at - last < SAME_CAUSE_MS && sentAt <= last) return;
      count += 1;
      last = at;
    });
  return count;
}

/** Whether the parts of two candidates were in the same crashes, and in a common prompt in each of them. */
function areInseparable({ crashes }: Candidate, other: Candidate): boolean {
  if (crashes.length !== other.crashes.length) return false;
  const own = new Set(crashes.flatMap(({ prompts }) => prompts));
  return other.crashes.every(({ prompts }) => prompts.some((prompt) => own.has(prompt)));
}

/**
 * Groups the parts with enough crashes by the prompts that they were in: long prompts have hundreds of parts in
 * common, which are then considered once.
 */
function candidatesOf(
  evidence: ReadonlyMap<string, readonly Evidence[]>,
  popular: ReadonlySet<string>,
): readonly Candidate[] {
  const numbers = new Map<UnansweredPrompt, number>();
  const numberOf = (prompt: UnansweredPrompt): number => {
    const number = numbers.get(prompt) ?? numbers.size;
    numbers.set(prompt, number);
    return number;
  };
  const found = new Map<
    string,
    { readonly parts: string[]; readonly crashes: readonly Evidence[] }
  >();
  evidence.forEach((crashes, part) => {
    if (crashes.length < MIN_CRASHES) return;
    const carrying = crashes.flatMap(({ prompts }) => prompts.map(numberOf));
    const key = `${popular.has(part)} ${carrying.join(' ')}`;
    const same = found.get(key);
    if (same) same.parts.push(part);
    else found.set(key, { parts: [part], crashes });
  });
  return [...found.values()].map(({ parts, crashes }) => ({
    parts,
    crashes,
    causes: countCauses(crashes),
    isPopular: popular.has(parts[0] ?? ''),
  }));
}

/**
 * Chooses the parts that explain the crashes: first those with most crashes. A part counts only the crashes
 * that no part with more of them explains.
 * @param evidence - crashes by part
 * @param popular - parts that were answered shortly before one of the crashes
 * @returns the parts that explain them
 */
export function accuse(
  evidence: ReadonlyMap<string, readonly Evidence[]>,
  popular: ReadonlySet<string>,
): readonly Accusation[] {
  const candidates = candidatesOf(evidence, popular)
    .filter(({ causes }) => causes >= MIN_CRASHES)
    .sort((a, b) => b.causes - a.causes);
  const chosen: Candidate[] = [];
  candidates.forEach((candidate) => {
    const explained = new Set(
      chosen
        .filter(({ causes }) => causes > candidate.causes)
        .flatMap(({ crashes }) => crashes.map(({ upstream }) => upstream)),
    );
    const left = candidate.crashes.filter(({ upstream }) => !explained.has(upstream));
    const needed = candidate.isPopular ? MIN_CRASHES_POPULAR : MIN_CRASHES;
    if (countCauses(left) >= needed) chosen.push(candidate);
  });
  return chosen.map((candidate) => ({
    ...candidate,
    group: chosen.filter((other) => areInseparable(candidate, other)).flatMap(({ parts }) => parts),
  }));
}
