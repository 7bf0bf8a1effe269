export * from './lineGroup.js';
export * from './lineInstance.js';
export * from './linePlatform.js';
export * from './statementWatch.js';
export * from './usageDuty.js';
export * from './usageTruth.js';
