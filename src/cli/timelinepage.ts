/** Renders the timeline as one self-contained HTML page, with a column for each instance. */
import { instanceOf } from '../kernel/index.js';
import { EVENTS } from '../telemetry/index.js';

import type { TimelineEvent, TimelineView } from '../telemetry/index.js';

/** Index of the time of day in an ISO 8601 time. */
const ISO_CLOCK_OFFSET = 11;

const STYLE = `
body { font: 14px/1.4 system-ui, sans-serif; margin: 1.5rem; color: #1c2330; background: #fff; }
table { border-collapse: collapse; width: 100%; table-layout: fixed; }
th { position: sticky; top: 0; background: #eef1f6; text-align: left; padding: .4rem .6rem; }
th.time, td.time { width: 7.5rem; font: 12px ui-monospace, monospace; color: #5a6577; }
td { border-top: 1px solid #e3e7ee; border-left: 1px solid #e3e7ee; padding: .3rem .6rem;
  vertical-align: top; overflow-wrap: anywhere; }
.event { border-left: 4px solid #8fa3bf; padding-left: .5rem; }
.warn { border-color: #d98c00; background: #fff8e8; }
.error { border-color: #c62828; background: #fdecec; }
.debug { border-color: #c9d2df; }
.number { font: 12px ui-monospace, monospace; color: #5a6577; }
.about { font-size: 12px; color: #3d4a60; }
.missing { background: #fff3cd; padding: .5rem .8rem; }
`;

function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}

function renderEvent({ number, name, subject }: TimelineEvent): string {
  const { level, text } = EVENTS[name];
  const subjectText = Object.entries(subject)
    .map(([field, value]) => `${field}: ${String(value)}`)
    .join('; ');
  return (
    `<div class="event ${level}"><span class="number">${number}</span> ${escapeHtml(text)}` +
    `<div class="about">${escapeHtml(subjectText)}</div></div>`
  );
}

function renderRow(event: TimelineEvent, lanes: readonly string[]): string {
  const time = new Date(event.stamp.wall).toISOString().slice(ISO_CLOCK_OFFSET, -1);
  const count = event.stamp.count > 0 ? ` +${event.stamp.count}` : '';
  const ownInstance = instanceOf(event.source);
  const cells = lanes
    .map((lane) => `<td>${lane === ownInstance ? renderEvent(event) : ''}</td>`)
    .join('');
  return `<tr><td class="time" title="${escapeHtml(event.source)}">${time}${count}</td>${cells}</tr>`;
}

/**
 * Renders events as a page.
 * @param view - events in causal order, and the instances that did not answer
 * @returns an HTML page without external resources
 */
export function renderTimelinePage({ events, unreachable }: TimelineView): string {
  const lanes = [...new Set(events.map(({ source }) => instanceOf(source)))].sort();
  const head = lanes.map((lane) => `<th>${escapeHtml(lane)}</th>`).join('');
  const rows = events.map((event) => renderRow(event, lanes)).join('\n');
  const names = unreachable.map(escapeHtml).join(', ');
  const missing = names === '' ? '' : `<p class="missing">No answer from ${names}.</p>`;
  return `<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>comfreyreel time line</title><style>${STYLE}</style></head>
<body>
<h1>Time line</h1>
<p>${events.length} events; every cause stands above its effects. Wall clocks of instances may differ.</p>
${missing}
<table>
<thead><tr><th class="time">time</th>${head}</tr></thead>
<tbody>
${rows}
</tbody>
</table>
</body>
</html>
`;
}
