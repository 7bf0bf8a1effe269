export * from './finding.js';
export * from './differences.js';
export * from './ticketRules.js';
export * from './schemaFindings.js';
export * from './configurationCheck.js';
