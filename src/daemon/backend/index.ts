export * from './frameType.js';
export * from './frameScanner.js';
export * from './backendExchange.js';
export * from './backendAccess.js';
export * from './backendConnection.js';
export * from './connectionPool.js';
export * from './instanceProbe.js';
export * from './boundSocket.js';
