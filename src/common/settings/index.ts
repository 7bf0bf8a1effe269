export * from './address.js';
export * from './settings.js';
export * from './readSettings.js';
