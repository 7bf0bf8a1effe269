export * from './loadOutcome.js';
export * from './loadSettings.js';
export * from './loadStatement.js';
export * from './loadStatements.js';
export * from './accountStatistics.js';
export * from './writeHistory.js';
export * from './load.js';
