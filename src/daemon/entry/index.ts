export * from './callerFrontend.js';
export * from './callerRequests.js';
export * from './dispatcher.js';
export * from './entryOverload.js';
export * from './entryRequests.js';
export * from './remoteRequests.js';
export * from './readerRequests.js';
