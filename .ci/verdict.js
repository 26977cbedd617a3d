/**
 * Reads TAP from standard input, of as many runs as the argument says (default one); passes over the failures that
 * KNOWN-RED.txt lists.
 */
import { readFile } from 'node:fs/promises';
import { createInterface } from 'node:readline';

const text = await readFile('KNOWN-RED.txt', 'utf8').catch(() => '');
const known = text
  .split('\n')
  .filter((line) => line.startsWith('test: '))
  .map((line) => line.slice('test: '.length).trim());
const say = (line) => process.stdout.write(`${line}\n`);
const results = [];
const runs = Number(process.argv[2] ?? 1);
let plans = 0;
let planned = 0;
for await (const line of createInterface({ input: process.stdin })) {
  say(line);
  const found = /^(not ok|ok) \d+ - (.*)$/.exec(line);
  if (found) results.push({ passed: found[1] === 'ok', title: found[2].trim() });
  const plan = /^1\.\.(\d+)$/.exec(line);
  if (plan) {
    plans += 1;
    planned += Number(plan[1]);
  }
}
const failed = results.filter(({ passed }) => !passed);
const isKnown = ({ title }) => known.some((red) => title.endsWith(red));
failed.filter(isKnown).forEach(({ title }) => say(`known red: ${title}`));
known
  .filter((red) => !failed.some(({ title }) => title.endsWith(red)))
  .forEach((red) => say(`no longer red, take it off KNOWN-RED.txt: ${red}`));
const unknown = failed.filter((result) => !isKnown(result));
const passed = results.length - failed.length;
const complete = plans === runs && planned === results.length && passed > 0;
if (!complete) {
  say(
    `incomplete: ${results.length} results of ${planned} planned, ${plans} of ${runs} runs planned`,
  );
}
say(`${passed} passed, ${unknown.length} failed`);
process.exitCode = unknown.length > 0 || !complete ? 1 : 0;
