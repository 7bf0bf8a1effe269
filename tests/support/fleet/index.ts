export * from './fleetOptions.js';
export * from './fakeFleet.js';
export * from './fleetFault.js';
export * from './fleetControl.js';
export * from './fleetObserver.js';
export * from './fakeDaemon.js';
export * from './fakeNetwork.js';
