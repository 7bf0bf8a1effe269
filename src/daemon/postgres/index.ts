export * from './postgresProtocol.js';
