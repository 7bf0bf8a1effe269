export * from './meshKind.js';
export * from './meshMessage.js';
export * from './meshPeer.js';
export * from './meshLink.js';
export * from './meshTls.js';
export * from './meshOptions.js';
export * from './mesh.js';
export * from './frameCodec.js';
