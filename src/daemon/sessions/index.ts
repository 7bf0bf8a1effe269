export * from './callerStatement.js';
export * from './sessionAccess.js';
export * from './sessionRefusal.js';
export * from './sessionReplies.js';
export * from './statementForm.js';
export * from './statementSession.js';
