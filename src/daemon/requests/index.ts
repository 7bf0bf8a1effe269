export * from './requestKind.js';
export * from './preparedStatement.js';
export * from './executeRequest.js';
export * from './requestFault.js';
export * from './transactionStatus.js';
export * from './requestOutcome.js';
export * from './responseReceiver.js';
export * from './runningRequest.js';
