import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import test from 'ava';
import { stringify } from 'yaml';

import type { ExecutionContext } from 'ava';
import { runCli } from '../../../testbed/cli.js';
import { Fleet } from '../../../testbed/fleet.js';

const UNREACHABLE = 'http://127.0.0.1:9';

/** A running fleet, and a directory for service files. */
interface FleetWithDirectory {
  readonly fleet: Fleet;
  readonly dir: string;
}

async function startFleet(t: ExecutionContext, daemons: number): Promise<FleetWithDirectory> {
  const fleet = await Fleet.start({ daemons, units: 100 });
  const dir = await mkdtemp(join(tmpdir(), 'comfreyreel-cli-'));
  t.teardown(async () => {
    await fleet.stop();
    await rm(dir, { recursive: true, force: true });
  });
  return { fleet, dir };
}

test('an operator publishes, pays and repeats both safely', async (t) => {
  const { fleet, dir } = await startFleet(t, 1);
  const { documents } = fleet;
  const { url } = fleet.daemon(0);
  const file = join(dir, 'shop.comfreyreel.yaml');
  await writeFile(file, stringify(documents));
  const same = await runCli(['diff', dir, '--url', url]);
  t.deepEqual([same.code, same.stdout], [0, 'no difference from revision 1\n']);

  const budgets = [...documents.budgets, { name: 'spare', workspace: 'shop' }];
  await writeFile(file, stringify({ ...documents, budgets }));
  const publish = ['publish', dir, '--operation', 'add-spare', '--url', url];
  const first = await runCli(publish);
  t.is(first.code, 0);
  t.true(first.stderr.includes('operation add-spare'));
  t.regex(first.stderr, /^added {3}budgets {2}spare$/m);
  t.is(first.stdout, 'published: revision 2\n');
  const again = await runCli(publish);
  t.is(again.code, 0);
  t.regex(again.stdout, /^already done at \S+: revision 2\n$/);

  const pay = ['topup', 'spare', '25', '--operation', 'invoice-1', '--url', url];
  t.is((await runCli(pay)).stdout, 'done: 25 units are paid in all\n');
  t.regex((await runCli(pay)).stdout, /^already done at \S+: 25 units are paid in all\n$/);
  const other = await runCli([...pay.slice(0, 2), '26', ...pay.slice(3)]);
  t.is(other.code, 1);
  t.regex(other.stderr, /this operation id was used for another order: invoice-1 paid 25 units/);

  const listed = await runCli(['budgets', '--url', url]);
  t.regex(listed.stdout, /^name +workspace +paid +spent +granted +held +left\n/);
  const shown = await runCli(['workspaces', '--json', '--url', url]);
  t.deepEqual(JSON.parse(shown.stdout), [
    { name: 'shop', state: 'open', keys: 1, budgets: 2, concurrency: 0, requestsPerSecond: 0 },
  ]);
  t.is(
    (await runCli(['statement', 'shop', '--url', url])).stdout,
    '(none)\ntotal: 0 units in 0 requests\n',
  );
  t.regex((await runCli(['status', '--url', url])).stdout, /^incarnation +ready +revision/);
});

test('a conflict names the earlier publication; --wait names daemons without the revision', async (t) => {
  const { fleet, dir } = await startFleet(t, 2);
  const { documents } = fleet;
  const { url } = fleet.daemon(0);
  const file = join(dir, 'shop.comfreyreel.yaml');
  const budgets = [...documents.budgets, { name: 'spare', workspace: 'shop' }];
  await writeFile(file, stringify({ ...documents, budgets }));
  const publish = ['publish', dir, '--url', url, '--base', '1'];
  const first = await runCli([...publish, '--operation', 'one', '--wait', '--json']);
  const result = JSON.parse(first.stdout) as { readonly at: number };
  t.is(first.code, 0, first.stderr);
  t.like(result, { result: 'published', revision: 2, daemons: 2, missing: [] });

  await writeFile(file, stringify(documents));
  const second = await runCli([...publish, '--operation', 'two']);
  t.is(second.code, 1);
  const when = new Date(result.at).toISOString();
  t.true(
    second.stderr.includes(`at ${when} (operation one: added budgets spare); yours was compared`),
    second.stderr,
  );
  t.true(second.stderr.includes('run "comfreyreel diff"'));
  const reused = await runCli([...publish, '--operation', 'one']);
  t.is(reused.code, 1);
  t.regex(reused.stderr, /this operation id was used for another order/);

  fleet.daemon(1).child.signal('SIGSTOP');
  const removing = await runCli(['publish', dir, '--url', url, '--base', '2']);
  t.is(removing.code, 2);
  t.regex(removing.stderr, /would remove what is in force: budgets spare; name every directory/);
  const wait = ['--remove', '--base', '2', '--operation', 'three', '--wait', '--wait-seconds', '1'];
  const third = await runCli(['publish', dir, '--url', url, ...wait]);
  t.is(third.code, 3);
  t.regex(third.stdout, /^published: revision 3, in force at 1 daemons\n$/);
  t.true(third.stderr.includes('not in force yet: entry-2 does not answer'));
  fleet.daemon(1).child.signal('SIGCONT');
  const again = await runCli(['publish', dir, '--url', url, ...wait.slice(0, -1), '10']);
  t.is(again.code, 0, again.stderr);
  t.regex(again.stdout, /^already done at \S+: revision 3, in force at 2 daemons\n$/);
});

test('the daemon refuses a publication with a dangling reference or an unknown piece', async (t) => {
  const fleet = await Fleet.start({ daemons: 1, units: 0 });
  t.teardown(() => fleet.stop());
  const budgets = [{ name: 'main', workspace: 'shp' }];
  const order = { operation: 'bad', author: 'ana', base: 1 };
  const answer = await fleet
    .daemon(0)
    .order('publish', { ...order, documents: { ...fleet.documents, budgets } });
  t.like(answer, { error: { code: 'invalid', outcome: 'not-run' } });
  t.regex(JSON.stringify(answer), /budgets\.0\.workspace: there is no workspace/);
  const absent = await fleet.daemon(0).order('publish', { ...order, digests: ['0'.repeat(32)] });
  t.like(absent, { error: { code: 'invalid' } });
  t.is((await fleet.daemon(0).operator<{ revision: number }>('status')).revision, 1);
});

test('check prints every problem, with --json as JSON', async (t) => {
  const dir = await mkdtemp(join(tmpdir(), 'comfreyreel-cli-'));
  t.teardown(() => rm(dir, { recursive: true, force: true }));
  const empty = await runCli(['check', dir]);
  t.is(empty.code, 2);
  t.true(empty.stderr.includes('there is no file that ends in .comfreyreel.yaml'));
  const file = join(dir, 'a.comfreyreel.yaml');
  await writeFile(file, 'budgets:\n  - { name: A, workspac: b }\n');
  const found = await runCli(['check', dir, '--json']);
  t.is(found.code, 2);
  const { problems } = JSON.parse(found.stdout) as { readonly problems: readonly object[] };
  t.is(problems.length, 3);
  t.like(problems.at(-1), { file, line: 2, column: 16, text: 'unknown field "workspac"' });
  const absent = await runCli(['check', join(dir, 'none')]);
  t.deepEqual([absent.code, absent.stderr.includes('cannot be read: ENOENT')], [2, true]);
});

const EXIT_CASES = [
  { title: 'no daemon', args: ['status', '--url', UNREACHABLE], code: 3 },
  {
    title: 'no daemon for an order',
    args: ['topup', 'a', '1', '--operation', 'p-1', '--url', UNREACHABLE],
    code: 3,
    stderr: /run it again with --operation p-1/,
  },
  { title: 'unknown command', args: ['pubish'], code: 2 },
  { title: 'unknown option', args: ['status', '--jsn'], code: 2 },
  { title: 'top-up without an operation id', args: ['topup', 'a', '1'], code: 2 },
  { title: 'help of a command', args: ['publish', '--help'], code: 0 },
  { title: 'completion script', args: ['completion'], code: 0 },
] as const;

EXIT_CASES.forEach((row) => {
  test(`exit code: ${row.title}`, async (t) => {
    const run = await runCli(row.args);
    t.is(run.code, row.code, run.stderr);
    if ('stderr' in row) t.regex(run.stderr, row.stderr);
  });
});
