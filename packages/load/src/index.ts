/** Open-loop load, client-side checks of its results, and experiments with scheduling policies. */
export * from './Types.js';
export * from './scenarios.js';
export * from './RandomDraws.js';
export * from './drawArrivals.js';
export * from './countWithinRate.js';
export * from './summarize.js';
export * from './runScenario.js';
export * from './runExperiment.js';
