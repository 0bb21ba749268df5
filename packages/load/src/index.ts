/** Open-loop load, its outcome judged from outside, and experiments over scheduling policies. */
export * from './Types.js';
export * from './scenarios.js';
export * from './RandomDraws.js';
export * from './drawArrivals.js';
export * from './countWithinRate.js';
export * from './summarize.js';
export * from './runScenario.js';
export * from './runExperiment.js';
