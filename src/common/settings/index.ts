export * from './settings.js';
export * from './readSettings.js';
