export * from './faults.js';
export * from './instanceStatus.js';
export * from './standinInstance.js';
export * from './createStandinInstance.js';
