export * from './boundedWriter.js';
export * from './logFields.js';
export * from './formatLine.js';
export * from './repeatLimiter.js';
export * from './logger.js';
export * from './requestLog.js';
