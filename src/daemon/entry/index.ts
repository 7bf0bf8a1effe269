export * from './callerFront.js';
export * from './callerRequests.js';
export * from './dispatcher.js';
export * from './entryRequests.js';
export * from './remoteRequests.js';
export * from './readerRequests.js';
