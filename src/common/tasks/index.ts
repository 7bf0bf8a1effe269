export * from './mailbox.js';
export * from './task.js';
