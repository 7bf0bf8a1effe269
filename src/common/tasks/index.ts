export * from './mailbox.js';
export * from './task.js';
export * from './waitForPendingInput.js';
