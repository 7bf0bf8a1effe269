export * from './fleetOptions.js';
export * from './fakeFleet.js';
