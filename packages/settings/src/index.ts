/** Settings in YAML, validated by a schema. */
export * from './Types.js';
export * from './SECRET.js';
export * from './loadSettings.js';
export * from './readSettingsFile.js';
export * from './readSecret.js';
