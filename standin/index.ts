export * from './settings/index.js';
export * from './instance/index.js';
export type { Change, LogRecord, TermStart } from './log/index.js';
