export * from './postgresServer.js';
export * from './receivedRecorder.js';
