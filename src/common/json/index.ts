export * from './boundedJson.js';
