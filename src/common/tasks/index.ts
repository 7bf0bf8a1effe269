export * from './mailbox.js';
export * from './task.js';
export * from './waitForPendingInput.js';
export * from './steps.js';
