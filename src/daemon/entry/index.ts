export * from './dispatcher.js';
export * from './remoteRequests.js';
