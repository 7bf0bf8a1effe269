export * from './rateTask.js';
