export * from './controlHost.js';
export * from './httpPlatform.js';
export * from './memberAddresses.js';
export * from './meshControlClient.js';
export * from './platform.js';
