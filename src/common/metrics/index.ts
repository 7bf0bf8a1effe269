export * from './requestClass.js';
export * from './requestTimes.js';
export * from './readSource.js';
export * from './connectionSide.js';
export * from './timeSeries.js';
export * from './timeHistogram.js';
export * from './accountMetrics.js';
export * from './metrics.js';
