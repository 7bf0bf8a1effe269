export * from './endSocket.js';
