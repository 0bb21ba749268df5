/** Report on the burn rates of service-level objectives. */
export * from './Types.js';
export * from './ExitCodes.js';
export * from './objectives.js';
export * from './createBurnReport.js';
export * from './formatHtml.js';
export * from './formatText.js';
export * from './runCommandLine.js';
