export * from './fleetPlan.js';
export * from './localFleet.js';
export * from './createAccountSubject.js';
