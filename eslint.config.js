import { configs, extensions, plugins } from 'eslint-config-airbnb-extended';

export default [
  { ignores: ['dist/**', 'target/**', 'src/generated/**', 'node_modules/**'] },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...extensions.base.typescript,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  {
    files: ['**/*.ts', '**/*.js'],
    rules: {
      // The house style asks for `for of` loops with early exits, also over awaited steps.
      'no-restricted-syntax': 'off',
      'no-continue': 'off',
      'no-await-in-loop': 'off',
      // Layout is Prettier's job, with the Airbnb values that it supports.
      '@stylistic/indent': 'off',
      '@stylistic/implicit-arrow-linebreak': 'off',
      '@stylistic/operator-linebreak': 'off',
      '@stylistic/object-curly-newline': 'off',
      '@stylistic/function-paren-newline': 'off',
      '@stylistic/newline-per-chained-call': 'off',
      '@stylistic/lines-between-class-members': 'off',
      '@stylistic/quotes': ['error', 'single', { avoidEscape: true }],
      '@stylistic/no-confusing-arrow': 'off',
      '@stylistic/no-mixed-operators': 'off',
      // ES module paths of TypeScript sources end in `.js` and named exports are the rule here.
      'import-x/extensions': 'off',
      'import-x/prefer-default-export': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      'no-underscore-dangle': [
        'error',
        { allow: ['_unsafeUnwrap', '_unsafeUnwrapErr', '_paused'] },
      ],
    },
  },
  {
    files: ['**/*.ts'],
    rules: {
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-explicit-any': 'error',
    },
  },
  {
    files: ['scripts/**', 'standins/**', 'demo/**', 'bench/**', 'soak/**', 'src/cli/**'],
    rules: { 'no-console': 'off' },
  },
  {
    files: ['test/**/*.ts'],
    // `node:test` registers a test at the call; its promise needs no waiting.
    rules: { '@typescript-eslint/no-floating-promises': 'off' },
  },
  {
    files: ['src/daemon.ts', 'src/cli/main.ts', 'platform/main.ts', 'soak/platform/main.ts'],
    // Executables: their exit codes are documented and a signal must end them at once.
    rules: { 'n/no-process-exit': 'off', 'n/hashbang': 'off' },
  },
];
