export * from './callerStatement.js';
export * from './sessionAccess.js';
export * from './sessionRefusal.js';
export * from './sessionResponder.js';
export * from './statementEncoder.js';
export * from './statementSession.js';
