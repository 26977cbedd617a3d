import { readFile } from 'node:fs/promises';

import test from 'ava';

import { formatProblem } from '../../kernel/index.js';
import { readServiceFiles } from '../servicefile.js';
import { BAD_FILES } from './badfiles.js';

import type { ServiceFile } from '../servicefile.js';

function problemsOf(files: readonly ServiceFile[]): readonly string[] {
  const read = readServiceFiles(files);
  return read.ok ? [] : read.val.map(formatProblem);
}

BAD_FILES.forEach(({ title, files, problems }) => {
  test(`bad file: ${title}`, (t) => {
    const read = Object.entries(files).map(([file, text]) => ({
      file,
      content: Buffer.from(text),
    }));
    t.deepEqual(problemsOf(read), problems);
  });
});

const NESTING_PROBLEM = 'nested too deeply; write the fields with less nesting';

const BAD_BYTES = [
  {
    title: 'not UTF-8',
    content: Buffer.from('budgets:\n  - name: caf\u00e9\n', 'latin1'),
    problems: ['a.yaml:2:14: the file is not UTF-8; save the file as UTF-8'],
  },
  {
    title: 'UTF-16',
    content: Buffer.from('\ufeffbudgets: []', 'utf16le'),
    problems: ['a.yaml:1:1: the file is not UTF-8; save the file as UTF-8'],
  },
  {
    title: 'a huge file',
    content: Buffer.alloc(1_048_577, 0x20),
    problems: ['a.yaml:1:1: the file has 1048577 bytes, more than 1048576; split the file'],
  },
  {
    title: 'deep brackets',
    content: Buffer.from(`budgets:\n ${'['.repeat(50_000)}`),
    problems: [`a.yaml:2:34: ${NESTING_PROBLEM}`],
  },
  {
    title: 'deep lists',
    content: Buffer.from('- '.repeat(50_000)),
    problems: [`a.yaml:1:1: ${NESTING_PROBLEM}`],
  },
  {
    title: 'deep indentation',
    content: Buffer.from(`budgets:\n${' '.repeat(100)}- 1\n`),
    problems: [`a.yaml:2:1: ${NESTING_PROBLEM}`],
  },
  {
    title: 'more than a hundred aliases',
    content: Buffer.from(`budgets: &a [1]\nroutes: [${'*a, '.repeat(101)}]\n`),
    problems: [
      'a.yaml:2:410: aliases that expand without bound; replace the aliases with their values',
    ],
  },
  {
    title: 'a workspace larger than a piece',
    content: Buffer.from(
      `budgets:\n  - { name: main, workspace: shop }\nworkspaces:\n  - name: shop\n    keys:\n${Array.from(
        { length: 9_700 },
        (_, index) => `    - {budget: main, sha256: ${`a${index}`.padStart(64, 'b')}}\n`,
      ).join('')}`,
    ),
    problems: [
      'a.yaml:4:11: workspaces.0.name: 911839 bytes, more than 900000; split it into several documents',
    ],
  },
] as const;

BAD_BYTES.forEach(({ title, content, problems }) => {
  test(`bad file: ${title}`, (t) => {
    t.deepEqual(problemsOf([{ file: 'a.yaml', content }]), problems);
  });
});

test('a key given instead of its digest is not printed', (t) => {
  const text = 'workspaces:\n  - name: shop\n    keys: [{ sha256: hunter2, budget: main }]\n';
  const [problem = ''] = problemsOf([{ file: 'a.yaml', content: Buffer.from(text) }]);
  t.true(problem.includes('expected 64 hexadecimal digits, the SHA-256 of the key'));
  t.false(problem.includes('hunter2'));
});

test('bounded aliases and a byte order mark are accepted', (t) => {
  const text =
    '\ufeffworkspaces:\n  - { name: &n shop, keys: [] }\nbudgets:\n  - { name: main, workspace: *n }\n';
  const read = readServiceFiles([{ file: 'a.yaml', content: Buffer.from(text) }]);
  t.deepEqual(read.ok ? read.val.budgets : read.val, [{ name: 'main', workspace: 'shop' }]);
});

const PUBLISHING_PAGE = new URL('../../../../docs/operations/publishing.md', import.meta.url);

test('the example of docs/operations/publishing.md is correct', async (t) => {
  const page = await readFile(PUBLISHING_PAGE, 'utf8');
  const example = /```yaml\n([^`]+)```/.exec(page)?.[1] ?? '';
  t.deepEqual(problemsOf([{ file: 'example.yaml', content: Buffer.from(example) }]), []);
});
