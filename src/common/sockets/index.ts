export * from './endSocket.js';
export * from './growingBuffer.js';
