import * as fs from 'node:fs';
import * as path from 'node:path';

import * as airbnb from 'eslint-config-airbnb-extended';
import * as prettierConfig from 'eslint-config-prettier';

const NAMESPACE_IMPORT = 'Import the namespace: import * as name from "module".';
const NO_ENUM = 'Use a constant object (as const) in place of an enum.';

const ROOT = import.meta.dirname;
const PACKAGE_FOLDERS = fs
  .readdirSync(path.join(ROOT, 'packages'))
  .map((name) => path.join(ROOT, 'packages', name))
  .concat(path.join(ROOT, 'platform'));

export default [
  { ignores: ['**/dist/**', '**/node_modules/**', 'out/**', 'target/**'] },
  airbnb.plugins.stylistic,
  airbnb.plugins.importX,
  airbnb.plugins.node,
  airbnb.plugins.typescriptEslint,
  ...airbnb.configs.base.recommended,
  ...airbnb.configs.base.typescript,
  prettierConfig.default ?? prettierConfig,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      'import-x/prefer-default-export': 'off',
      'import-x/no-namespace': 'off',
      'import-x/extensions': 'off',
      // A connection's task is one loop written straight down, so it waits within the loop.
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      // A fold and an attempt change the state that they are given in place.
      'no-param-reassign': ['error', { props: false }],
      // A class that implements an interface need not use its state in each method.
      'class-methods-use-this': 'off',
      // Public functions stand above the private ones that they call.
      '@typescript-eslint/no-use-before-define': ['error', { functions: false }],
      'no-restricted-syntax': [
        'error',
        { selector: 'TSEnumDeclaration', message: NO_ENUM },
        {
          selector: 'ImportDeclaration[importKind!="type"] > ImportSpecifier[importKind!="type"]',
          message: NAMESPACE_IMPORT,
        },
        { selector: 'ImportDeclaration > ImportDefaultSpecifier', message: NAMESPACE_IMPORT },
      ],
    },
  },
  {
    files: ['**/*.test.ts', 'tests/**/*.ts', 'benchmarks/**/*', 'demo/**/*', 'platform/build.mjs'],
    rules: {
      'import-x/no-extraneous-dependencies': [
        'error',
        { devDependencies: true, packageDir: [ROOT, ...PACKAGE_FOLDERS] },
      ],
    },
  },
  {
    // Scripts that people start: they print what they found.
    files: ['**/*.mjs', 'benchmarks/**/*'],
    languageOptions: {
      globals: { process: 'readonly', console: 'readonly', AbortController: 'readonly' },
    },
    rules: { 'no-console': 'off' },
  },
  {
    // Scripts of several modules follow the same rules as the packages. A measurement is one loop:
    // points that ran beside each other would disturb each other.
    files: ['benchmarks/**/*.mjs', 'demo/**/*.mjs'],
    languageOptions: { globals: { performance: 'readonly', setTimeout: 'readonly' } },
    rules: {
      'import-x/extensions': 'off',
      'import-x/prefer-default-export': 'off',
      'no-await-in-loop': 'off',
      'no-continue': 'off',
      'no-param-reassign': ['error', { props: false }],
      'no-use-before-define': ['error', { functions: false }],
      'no-restricted-syntax': [
        'error',
        { selector: 'ImportDeclaration > ImportSpecifier', message: NAMESPACE_IMPORT },
        { selector: 'ImportDeclaration > ImportDefaultSpecifier', message: NAMESPACE_IMPORT },
      ],
    },
  },
];
