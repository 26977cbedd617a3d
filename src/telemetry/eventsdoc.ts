/** Renders docs/EVENTS.md from the catalogue of events. */
import { EVENTS } from './events.js';

const HEADER = `# Events

Every event that a daemon logs (field \`event\`), counts (\`comfreyreel.event.NAME\`) and keeps for the
time line. This page is generated from \`src/telemetry/events.ts\` by \`npm run docs\`; a test compares them.

| number | name | level | meaning |
| --- | --- | --- | --- |
`;

/**
 * Renders the page as Markdown.
 * @returns the content of docs/EVENTS.md
 */
export function renderEventsPage(): string {
  const rows = Object.entries(EVENTS)
    .sort(([, a], [, b]) => a.number - b.number)
    .map(([name, { number, level, text }]) => `| ${number} | ${name} | ${level} | ${text} |\n`);
  return HEADER + rows.join('');
}
