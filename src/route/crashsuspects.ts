/**
 * Finds prompt parts that crash upstreams ("queries of death"), and rejects requests with them.
 *
 * Answers the load of a few requests that crash one upstream after the other, in a fleet where each daemon sees a
 * fraction of the crashes, and where each crash also interrupts many requests that did not cause it.
 */
import { accuse, collectEvidence, MIN_CRASHES } from './crashevidence.js';
import { filterParts, mergeReports, NO_CRASHES } from './crashreports.js';
import { RecentTimes } from './recenttimes.js';

import type { Accusation, Evidence } from './crashevidence.js';
import type { CrashRecord, CrashReport, PartTrials, UnansweredPrompt } from './crashreports.js';

/** Time before a crash in which an answer makes a part popular, in milliseconds. */
const POPULAR_MS = 10_000;

/** Time for which a crash is remembered, in milliseconds. */
const REPORT_LIFETIME_MS = 600_000;

/** Time for which a rejected part is remembered after its last crash or trial, in milliseconds. */
const REJECTION_LIFETIME_MS = 7_200_000;

/** Time from the last crash to the first trial of a rejected part, in milliseconds. */
const FIRST_TRIAL_MS = 15_000;

/** Factor by which that time grows with each trial, and its limit in milliseconds. */
const TRIAL_BACKOFF = 4;
const MAX_TRIAL_MS = 3_600_000;

/** Number of parts whose last answer is remembered: of long prompts at a busy instance, while they are popular. */
const MAX_ANSWERED = 32_000;

/** Number of own reports that are kept while the store does not take them. */
const MAX_OWN_REPORTS = 64;

/** Number of parts in these reports, in all prompts together, as long as there are several reports. */
const MAX_OWN_PARTS = 100_000;

const NO_TRIALS: PartTrials = { count: 0, at: Number.NEGATIVE_INFINITY };

/** Rejection of requests that contain all parts of a group. */
export interface Rejection {
  /** Parts that no crash tells apart; requests with only some of them are sent and tell them apart. */
  readonly group: readonly string[];
  /** Number of crashes with different causes. */
  readonly crashes: number;
  readonly upstreams: readonly string[];
  /** Time of the last crash, in milliseconds. */
  readonly lastCrashAt: number;
  /** Number of trials so far. */
  readonly trials: number;
  /** When a request may be sent as a trial, in milliseconds. */
  readonly nextTrialAt: number;
}

/** Decision on a request. */
export type Verdict =
  | { readonly kind: 'send' }
  | { readonly kind: 'reject'; readonly rejection: Rejection }
  /** May be sent if the store accepts the claim, so that the fleet makes a single trial. */
  | { readonly kind: 'trial'; readonly rejection: Rejection };

const SEND: Verdict = { kind: 'send' };

/** Own report, and when it was written to the store. */
interface OwnReport {
  readonly report: CrashReport;
  readonly sharedAt: number | undefined;
  /** Whether it was in the record of the fleet, which the store may have lost. */
  readonly wasLost?: boolean;
}

/** Time after which an own report that is missing in the store was removed there, in milliseconds. */
const SHARED_SETTLE_MS = 5_000;

/** Beliefs of one daemon about prompt parts, from its own crashes and those that the fleet shares. */
export class CrashSuspects {
  /** Last answer to each part. */
  readonly #answeredAt = new RecentTimes(MAX_ANSWERED);

  /** Last answer to the parts of known crashes; outlasts the limit on remembered answers. */
  readonly #clearedAt = new Map<string, number>();

  readonly #own = new Map<string, OwnReport>();

  /** Own reports that were in the last record to write. */
  #offered: readonly CrashReport[] = [];

  #shared: CrashRecord = NO_CRASHES;

  /** Crashes by part. */
  #evidence = new Map<string, readonly Evidence[]>();

  /** Rejections by part. */
  #rejections: ReadonlyMap<string, Rejection> = new Map();

  /** Rejections in force, by part. */
  get rejections(): ReadonlyMap<string, Rejection> {
    return this.#rejections;
  }

  /** Whether a part was in an unanswered request at a crash. */
  isSuspected(part: string): boolean {
    return this.#evidence.has(part);
  }

  /**
   * Decides whether a request may be sent.
   * @param parts - keys of its shared prompt parts
   * @param now - current time, in milliseconds
   * @returns the decision
   */
  verdict(parts: readonly string[], now: number): Verdict {
    if (this.#rejections.size === 0) return SEND;
    const present = new Set(parts);
    const found = [...new Set(parts.flatMap((part) => this.#rejections.get(part) ?? []))]
      .filter(({ group }) => group.every((part) => present.has(part)))
      .sort((a, b) => b.nextTrialAt - a.nextTrialAt);
    const [last] = found;
    if (!last) return SEND;
    const group = [...new Set(found.flatMap((rejection) => rejection.group))];
    const kind = last.nextTrialAt <= now ? 'trial' : 'reject';
    return { kind, rejection: { ...last, group } };
  }

  /**
   * Records that an upstream has begun to answer a request: its parts do not crash upstreams.
   * @param parts - keys of its shared prompt parts
   * @param now - current time, in milliseconds
   */
  noteAnswer(parts: readonly string[], now: number): void {
    parts.forEach((part) => this.#answeredAt.set(part, now));
    const suspected = parts.filter((part) => this.#evidence.has(part));
    suspected.forEach((part) => this.#clearedAt.set(part, now));
    const isDecisive = suspected.some(
      (part) => (this.#evidence.get(part)?.length ?? 0) >= MIN_CRASHES,
    );
    // A part with fewer crashes is not rejected, and its answer changes nothing for others.
    if (isDecisive) this.#derive(now);
    else suspected.forEach((part) => this.#evidence.delete(part));
  }

  /**
   * Records a crash that this daemon has seen.
   * @param upstream - incarnation of the upstream
   * @param at - when its connections ended, in milliseconds
   * @param prompts - prompts of the requests that had no answer
   * @param now - current time, in milliseconds
   */
  noteCrash(upstream: string, at: number, prompts: readonly UnansweredPrompt[], now: number): void {
    const popular = [...new Set(prompts.flatMap(({ parts }) => parts))].filter((part) => {
      const answeredAt = this.#answeredAt.get(part);
      return answeredAt !== undefined && at - answeredAt < POPULAR_MS;
    });
    const earlier = this.#own.get(upstream)?.report;
    const [report] = mergeReports([
      ...(earlier ? [earlier] : []),
      { upstream, at, prompts, popular },
    ]);
    if (report) this.#own.set(upstream, { report, sharedAt: undefined });
    this.#boundOwn();
    this.#derive(now);
  }

  /** Discards the oldest own reports beyond the limits. */
  #boundOwn(): void {
    let left = MAX_OWN_PARTS;
    [...this.#own].reverse().forEach(([upstream, { report }], index) => {
      left -= report.prompts.reduce((sum, { parts }) => sum + parts.length, 0);
      if (index > 0 && (index >= MAX_OWN_REPORTS || left < 0)) this.#own.delete(upstream);
    });
  }

  /**
   * Applies the record of the fleet.
   * @param record - the stored record
   * @param now - current time, in milliseconds
   */
  applyShared({ reports, trials }: CrashRecord, now: number): void {
    const known = new Map(this.#shared.reports.map((report) => [report.upstream, report.at]));
    this.#shared = {
      reports: reports.map((report) => {
        // The age in an unchanged report counts from its first receipt.
        const at = Math.min(report.at, known.get(report.upstream) ?? report.at);
        const delay = report.at - at;
        const prompts = report.prompts.map(({ parts, sentAt }) => ({
          parts,
          sentAt: sentAt - delay,
        }));
        return { ...report, at, prompts };
      }),
      trials: new Map(
        [...trials].map(([part, trial]) => {
          const earlier = this.#shared.trials.get(part);
          return [part, earlier?.count === trial.count ? earlier : trial];
        }),
      ),
    };
    const listed = new Map(reports.map(({ upstream, isPartial }) => [upstream, isPartial]));
    [...this.#own].forEach(([upstream, { sharedAt, wasLost }]) => {
      if (wasLost && listed.has(upstream)) this.#own.delete(upstream);
      // The parts that the record has no room for are offered again with the next report.
      if (sharedAt === undefined || listed.get(upstream) === true) return;
      if (listed.has(upstream) || now - sharedAt > SHARED_SETTLE_MS) this.#own.delete(upstream);
    });
    this.#derive(now);
  }

  /**
   * Keeps the reports of the record as own ones until the record lists them again: the store may have lost them.
   * @param now - current time, in milliseconds
   */
  keepShared(now: number): void {
    this.#shared.reports
      .filter(({ upstream }) => {
        const own = this.#own.get(upstream);
        return !own || own.sharedAt !== undefined;
      })
      .forEach((report) => {
        this.#own.set(report.upstream, { report, sharedAt: undefined, wasLost: true });
      });
    this.#boundOwn();
    this.#derive(now);
  }

  /** Whether this daemon knows of crashes that the store does not have yet. */
  get hasUnshared(): boolean {
    const unshared = [...this.#own.values()].filter(({ sharedAt }) => sharedAt === undefined);
    const reports = unshared.map(({ report }) => report);
    return filterParts(reports, (part, report) => !this.#isCleared(part, report)).length > 0;
  }

  /**
   * Whether the record of the fleet accuses a part that this daemon has seen answered since.
   * @returns whether the record should be corrected
   */
  get contradictsShared(): boolean {
    const crashes = new Map<string, number>();
    this.#shared.reports.forEach((report) => {
      const parts = new Set(report.prompts.flatMap((prompt) => prompt.parts));
      parts.forEach((part) => {
        if (this.#isCleared(part, report)) crashes.set(part, (crashes.get(part) ?? 0) + 1);
      });
    });
    // A single crash rejects nothing; its report is removed with the next one that is written.
    return [...crashes.values()].some((count) => count >= MIN_CRASHES);
  }

  /**
   * Builds the record to write: that of the fleet with the own reports, without parts that were answered.
   * @param now - current time, in milliseconds
   * @param tried - parts of a request that is sent as a trial
   * @returns the record, what is rejected first
   */
  recordToWrite(now: number, tried: readonly string[] = []): CrashRecord {
    this.#offered = [...this.#own.values()].map(({ report }) => report);
    const reports = this.#liveReports(now, false);
    const parts = new Set(reports.flatMap(({ prompts }) => prompts).flatMap((one) => one.parts));
    const trials = new Map([...this.#shared.trials].filter(([part]) => parts.has(part)));
    tried.forEach((part) => {
      trials.set(part, { count: (trials.get(part)?.count ?? 0) + 1, at: now });
    });
    const isRejected = ({ prompts }: CrashReport): boolean =>
      prompts.some((prompt) => prompt.parts.some((part) => this.#rejections.has(part)));
    const ordered = [
      ...reports.filter(isRejected),
      ...reports.filter((report) => !isRejected(report)),
    ];
    return { reports: ordered, trials };
  }

  /**
   * Records that the last record to write was written.
   * @param now - current time, in milliseconds
   */
  noteShared(now: number): void {
    [...this.#own].forEach(([upstream, { report, sharedAt = now }]) => {
      if (this.#offered.includes(report)) this.#own.set(upstream, { report, sharedAt });
    });
  }

  #isCleared(part: string, { at }: CrashReport): boolean {
    const answeredAt = this.#answeredAt.get(part) ?? this.#clearedAt.get(part);
    return answeredAt !== undefined && answeredAt > at;
  }

  /** Keeps the last answers to the parts of known crashes, and only these. */
  #rememberCleared(): void {
    const reports = [
      ...this.#shared.reports,
      ...[...this.#own.values()].map(({ report }) => report),
    ];
    const parts = new Set(reports.flatMap(({ prompts }) => prompts).flatMap((one) => one.parts));
    [...this.#clearedAt.keys()]
      .filter((part) => !parts.has(part))
      .forEach((part) => this.#clearedAt.delete(part));
    parts.forEach((part) => {
      const answeredAt = this.#answeredAt.get(part);
      if (answeredAt !== undefined) this.#clearedAt.set(part, answeredAt);
    });
  }

  /** Reports that count, without parts that were answered since. */
  #liveReports(now: number, withShared = true): readonly CrashReport[] {
    const partial = new Set(
      this.#shared.reports.filter(({ isPartial }) => isPartial).map(({ upstream }) => upstream),
    );
    const own = [...this.#own.values()]
      .filter(
        ({ sharedAt, report }) =>
          withShared || sharedAt === undefined || partial.has(report.upstream),
      )
      .map(({ report }) => report);
    const merged = mergeReports([...this.#shared.reports, ...own]);
    return filterParts(merged, (part, report) => {
      if (this.#isCleared(part, report)) return false;
      if (now - report.at < REPORT_LIFETIME_MS) return true;
      const rejection = this.#rejections.get(part);
      if (!rejection) return false;
      const trialAt = this.#shared.trials.get(part)?.at ?? rejection.lastCrashAt;
      return now - Math.max(trialAt, rejection.lastCrashAt) < REJECTION_LIFETIME_MS;
    });
  }

  #derive(now: number): void {
    this.#rememberCleared();
    const reports = this.#liveReports(now);
    this.#evidence = collectEvidence(reports);
    const popular = new Set(reports.flatMap((report) => report.popular));
    this.#rejections = new Map(
      accuse(this.#evidence, popular).flatMap((accusation) => {
        const rejection = this.#rejectionOf(accusation);
        return accusation.parts.map((part) => [part, rejection] as const);
      }),
    );
  }

  #rejectionOf({ group, crashes, causes }: Accusation): Rejection {
    const lastCrashAt = Math.max(...crashes.map(({ at }) => at));
    const trials = group
      .map((part) => this.#shared.trials.get(part) ?? NO_TRIALS)
      .reduce((a, b) => ({ count: Math.max(a.count, b.count), at: Math.max(a.at, b.at) }));
    const delayMs = Math.min(FIRST_TRIAL_MS * TRIAL_BACKOFF ** trials.count, MAX_TRIAL_MS);
    return {
      group,
      crashes: causes,
      upstreams: crashes.map(({ upstream }) => upstream),
      lastCrashAt,
      trials: trials.count,
      nextTrialAt: Math.max(lastCrashAt, trials.at) + delayMs,
    };
  }
}
