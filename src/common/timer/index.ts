export * from './adaptiveTick.js';
export * from './timerService.js';
export * from './suspensionDetector.js';
export * from './systemTimerService.js';
export * from './manualTimerService.js';
export * from './timeout.js';
