/** Bounds the length of the texts of an event, which may hold values that others have written. */
import type { EventSubject } from './timeline.js';

/** Maximum length of one text of an event, in characters. */
export const MAX_SUBJECT_CHARS = 1_000;

function bounded<Value>(value: Value): Value | string {
  if (typeof value !== 'string' || value.length <= MAX_SUBJECT_CHARS) return value;
  return `${value.slice(0, MAX_SUBJECT_CHARS)}... (${value.length} characters)`;
}

function isLong(value: unknown): boolean {
  return typeof value === 'string' && value.length > MAX_SUBJECT_CHARS;
}

function boundedTexts<Fields extends object>(fields: Fields): Fields {
  if (!Object.values(fields).some(isLong)) return fields;
  const entries = Object.entries(fields).map(([name, value]) => [name, bounded(value)] as const);
  return Object.fromEntries(entries) as Fields;
}

/**
 * Shortens the texts of an event.
 * @param subject - what the event is about
 * @returns the same subject if every text is short; otherwise a copy whose long texts are cut, with their length added
 */
export function boundSubject(subject: EventSubject): EventSubject {
  const { facts } = subject;
  const short = boundedTexts(subject);
  return facts === undefined ? short : { ...short, facts: boundedTexts(facts) };
}
