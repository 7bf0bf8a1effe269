export * from './fleetOptions.js';
export * from './fakeFleet.js';
export * from './fleetFault.js';
export * from './fakeDaemon.js';
