export * from './backendExchange.js';
export * from './backendLink.js';
export * from './backendProbe.js';
export * from './backendProtocol.js';
export * from './backendRefusal.js';
export * from './connectionPool.js';
export * from './instanceProbe.js';
