export * from './memberFitness.js';
export * from './memberPlan.js';
