/** Command that lists and runs proofs: all, the short set, or those named as arguments. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';

import { knownFailures } from '../testbed/knownfailures.js';
import { DEFAULT_SEED, seededRandom } from '../testbed/seed.js';
import { PROOFS } from './catalogue.js';

import type { Proof } from './proof.js';

const argv = await yargs(hideBin(process.argv))
  .scriptName('proof')
  .usage('$0 [NAME..] [--seed N] [--short] [--list]')
  .option('seed', { type: 'number', default: DEFAULT_SEED, describe: 'seed of every schedule' })
  .option('short', { type: 'boolean', default: false, describe: 'only the set that CI runs' })
  .option('list', { type: 'boolean', default: false, describe: 'list the proofs' })
  .strictOptions()
  .parse();

function say(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function passes(proof: Proof): Promise<boolean> {
  const began = performance.now();
  const { seed } = argv;
  const random = seededRandom(seed);
  try {
    await proof.run({ seed, random, say: (text) => say(`  ${text}`) });
    const seconds = ((performance.now() - began) / 1_000).toFixed(1);
    say(`holds: ${proof.name} (${proof.requirement}; seed ${seed}; ${seconds} s)`);
    return true;
  } catch (err) {
    say(`FAILS: ${proof.name} (${proof.requirement}; seed ${seed}): ${String(err)}`);
    return false;
  }
}

const names = argv._.map(String);
const unknown = names.filter((name) => !PROOFS.some((proof) => proof.name === name));
if (unknown.length > 0) {
  say(`no such proof: ${unknown.join(', ')}; "npm run proof -- --list" lists them`);
  process.exit(2);
}
const chosen = PROOFS.filter((proof) =>
  names.length > 0 ? names.includes(proof.name) : proof.short || !argv.short,
);
PROOFS.forEach((proof) => {
  const mark = chosen.includes(proof) ? '*' : ' ';
  say(`${mark} ${proof.name}: ${proof.requirement}`);
});
if (argv.list) process.exit(0);
const red = await knownFailures('proof');
let failures = 0;
for (let index = 0; index < chosen.length; index += 1) {
  const proof = chosen[index];
  // Proofs run sequentially, because each needs the processors of the machine.
  // eslint-disable-next-line no-await-in-loop
  if (proof && !(await passes(proof))) {
    if (red.includes(proof.name)) say(`known red: ${proof.name}`);
    else failures += 1;
  }
}
say(`proofs: ${chosen.length - failures} hold or are known red, ${failures} fail`);
process.exit(failures > 0 ? 1 : 0);
