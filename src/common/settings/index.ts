export * from './address.js';
export * from './settings.js';
export * from './settingsProblem.js';
export * from './settingsRule.js';
export * from './settingsRules.js';
export * from './checkSettings.js';
export * from './readSettings.js';
export * from './settingsReference.js';
