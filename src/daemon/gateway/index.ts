export * from './callerServer.js';
export * from './callerAccess.js';
export * from './callerTls.js';
export * from './callerSession.js';
