export * from './standinSettings.js';
export * from './readStandinSettings.js';
