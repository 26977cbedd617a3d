import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';
import tsdoc from 'eslint-plugin-tsdoc';

export default [
  { ignores: ['dist/', 'target/', 'journal/', 'node_modules/', 'coverage/'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  ...configs.node.recommended,
  prettier,
  {
    files: ['**/*.ts'],
    plugins: { tsdoc },
    rules: { 'tsdoc/syntax': 'error' },
  },
  {
    files: ['**/*.ts', '**/*.js'],
    rules: {
      // The house style asks for generators as control flow.
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      // The commands are compiled to dist, where the rule does not look for them.
      'n/hashbang': 'off',
      // Node resolves ES modules by full file name.
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/prefer-default-export': 'off',
      // The index files of aggregates re-export.
      'import-x/no-cycle': 'error',
      // Private class fields and abstract classes stand for behaviour that varies.
      'class-methods-use-this': 'off',
      'no-void': ['error', { allowAsStatement: true }],
    },
  },
  {
    files: [
      '**/*.test.ts',
      'fakes/**',
      'testbed/**',
      'bench/**',
      'proof/**',
      'demo/**',
      'tools/**',
      '**/*.config.js',
    ],
    rules: {
      'import-x/no-extraneous-dependencies': 'off',
      'no-console': 'off',
      // Programs of the test bed end with their verdict.
      'n/no-process-exit': 'off',
    },
  },
];
