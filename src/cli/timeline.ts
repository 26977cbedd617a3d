/** The command "timeline". */
import { writeFile } from 'node:fs/promises';

import type { CommandModule } from 'yargs';
import { EVENTS } from '../telemetry/index.js';
import { OperatorClient } from './client.js';
import { formatTable, printAnswer, printNote } from './output.js';
import { renderTimelinePage } from './timelinepage.js';

import type { TimelineEvent, TimelineView } from '../telemetry/index.js';
import type { GlobalArgs, Row } from './output.js';

/** Filters of the query; command line options and query parameters have the same names. */
const FILTER_PARAMETERS = ['request', 'budget', 'plan', 'instance'] as const;

interface TimelineArgs extends GlobalArgs {
  readonly request?: string;
  readonly budget?: string;
  readonly plan?: string;
  readonly instance?: string;
  readonly since?: string;
  readonly html?: string;
}

function queryOf(argv: TimelineArgs): string {
  const query = new URLSearchParams();
  FILTER_PARAMETERS.forEach((name) => {
    const value = argv[name];
    if (value !== undefined) query.set(name, value);
  });
  if (argv.since !== undefined) query.set('since', String(Date.parse(argv.since)));
  return query.toString();
}

function toRow({ stamp, source, number, name, subject }: TimelineEvent): Row {
  const { detail = '', ...about } = subject;
  return {
    time: new Date(stamp.wall).toISOString(),
    source,
    number,
    event: EVENTS[name].text,
    about: Object.entries(about)
      .map(([field, value]) => `${field} ${value}`)
      .join(', '),
    detail,
  };
}

function unreachableNote({ unreachable }: TimelineView): string {
  return unreachable.length === 0 ? '' : `without the events of ${unreachable.join(', ')}`;
}

function render(view: TimelineView): string {
  return [formatTable(view.events.map(toRow)), unreachableNote(view)].filter(Boolean).join('\n');
}

/** Shows the events of all daemons in causal order. */
export const timelineCommand: CommandModule<GlobalArgs, TimelineArgs> = {
  command: 'timeline',
  describe: 'show the events of all daemons in causal order',
  builder: (args) =>
    args
      .option('request', { type: 'string', describe: 'idempotency key of a request' })
      .option('budget', { type: 'string', describe: 'budget name' })
      .option('plan', { type: 'string', describe: 'plan name' })
      .option('instance', { type: 'string', describe: 'instance name' })
      .option('since', { type: 'string', describe: 'time, such as 2026-12-04T06:00:00Z' })
      .option('html', {
        type: 'string',
        describe: 'file for an HTML page with a column for each instance',
      })
      .check(({ since }) => {
        if (since === undefined || !Number.isNaN(Date.parse(since))) return true;
        throw new Error('--since: expected a time such as 2026-12-04T06:00:00Z');
      }),
  handler: async (argv) => {
    const path = `timeline?${queryOf(argv)}`;
    const answer = await new OperatorClient(argv).get<TimelineView>(path);
    if (answer.ok && argv.html !== undefined) {
      await writeFile(argv.html, renderTimelinePage(answer.val));
      printNote(
        `${answer.val.events.length} events written to ${argv.html} ${unreachableNote(answer.val)}`,
      );
      return;
    }
    printAnswer(argv, answer, render);
  },
};
