export * from './limitedConnection.js';
export * from './connectionCharge.js';
export * from './connectionLimits.js';
export * from './createByteBudgetOptions.js';
export * from './httpConnection.js';
export * from './httpConnections.js';
export * from './getMaximumConnections.js';
