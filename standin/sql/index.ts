export * from './sessionCommand.js';
export * from './parsedStatement.js';
export * from './parseStatements.js';
export * from './evaluationContext.js';
export * from './planCache.js';
export * from './plan.js';
export * from './sqlFault.js';
