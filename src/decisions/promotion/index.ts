export * from './promotionSettings.js';
export * from './instanceView.js';
export * from './groupView.js';
export * from './promotionDecision.js';
export * from './history.js';
export * from './logPoints.js';
export * from './fence.js';
export * from './promotionRules.js';
