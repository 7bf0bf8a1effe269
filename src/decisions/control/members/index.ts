export * from './memberPlan.js';
