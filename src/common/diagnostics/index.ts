export * from './diagnosticCategory.js';
export * from './diagnostic.js';
export * from './execution.js';
export * from './diagnosticArguments.js';
export * from './fault.js';
export * from './diagnosticTable.js';
export * from './assertInvariant.js';
