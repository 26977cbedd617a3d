/** Writes the pages that are generated from the code. */
import { writeFile } from 'node:fs/promises';
import { renderEventsPage } from '../src/telemetry/eventsdoc.js';
await writeFile('docs/EVENTS.md', renderEventsPage());
//# sourceMappingURL=docs.js.map