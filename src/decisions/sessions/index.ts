export * from './admissionWait.js';
export * from './sessionPosition.js';
export * from './positionStatus.js';
export * from './tokenSigner.js';
export * from './sessionToken.js';
export * from './sessionState.js';
