/** The report on service-level burn. */
export * from './Types.js';
export * from './ExitCodes.js';
export * from './objectives.js';
export * from './createBurnReport.js';
export * from './formatHtml.js';
export * from './formatText.js';
export * from './runCommandLine.js';
