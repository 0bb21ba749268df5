export default {
  testMatch: [
    '<rootDir>/packages/*/src/**/*.test.ts',
    '<rootDir>/platform/src/**/*.test.ts',
    '<rootDir>/tests/**/*.test.ts',
  ],
  extensionsToTreatAsEsm: ['.ts'],
  transform: {
    '^.+\\.ts$': [
      '@swc/jest',
      { jsc: { target: 'es2022', parser: { syntax: 'typescript' } }, module: { type: 'es6' } },
    ],
  },
  moduleNameMapper: {
    '^@limpettack/([a-z-]+)/testing$': '<rootDir>/packages/$1/src/testing/index.ts',
    '^@limpettack/([a-z-]+)$': '<rootDir>/packages/$1/src/index.ts',
    '^(\\.{1,2}/.*)\\.js$': '$1',
  },
  testTimeout: 60_000,
  maxWorkers: 4,
};
