import { classifyStatement } from './classifyStatement.js';
import type { Statement } from './statement.js';

const MAXIMUM_CACHED_TEXTS = 4096;
const MAXIMUM_CACHED_CHARACTERS = 4096;

/** Classifies statement texts and caches the results of short ones. */
export class StatementClassifier {
  private readonly cache = new Map<string, Statement>();

  classify(sql: string): Statement {
    const cached = this.cache.get(sql);
    if (cached !== undefined) {
      return cached;
    }
    const statement = classifyStatement(sql);
    if (sql.length <= MAXIMUM_CACHED_CHARACTERS) {
      this.cacheStatement(sql, statement);
    }
    return statement;
  }

  private cacheStatement(sql: string, statement: Statement): void {
    if (this.cache.size >= MAXIMUM_CACHED_TEXTS) {
      const oldest = this.cache.keys().next();
      if (oldest.done !== true) {
        this.cache.delete(oldest.value);
      }
    }
    this.cache.set(sql, statement);
  }
}
