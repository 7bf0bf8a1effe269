export * from './closeReason.js';
export * from './heldBytes.js';
export * from './byteBudgetOptions.js';
export * from './byteBudget.js';
