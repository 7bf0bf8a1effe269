export * from './sqlValue.js';
export * from './columnType.js';
export * from './tableDefinition.js';
export * from './table.js';
export * from './database.js';
export * from './tableView.js';
export * from './lockTable.js';
export * from './transaction.js';
