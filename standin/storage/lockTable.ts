import type { Transaction } from './transaction.js';

/** Exclusive locks of writers on rows, unique keys and tables, held until a transaction ends. */
export class LockTable {
  private readonly holders = new Map<string, Transaction>();

  /** The other transaction that holds any of the locks. */
  findConflict(locks: Iterable<string>, transaction: Transaction): Transaction | undefined {
    for (const lock of locks) {
      const holder = this.holders.get(lock);
      if (holder !== undefined && holder !== transaction) {
        return holder;
      }
    }
    return undefined;
  }

  /** Takes locks that no other transaction holds. */
  acquire(locks: Iterable<string>, transaction: Transaction): void {
    for (const lock of locks) {
      this.holders.set(lock, transaction);
      transaction.locks.add(lock);
    }
  }

  /** Gives up all locks of a transaction. */
  release(transaction: Transaction): void {
    for (const lock of transaction.locks) {
      this.holders.delete(lock);
    }
    transaction.locks.clear();
  }
}

/** The lock of a whole table, for its creation and removal. */
export function getTableLock(table: string): string {
  return `${table}/`;
}

/** The lock of one row. */
export function getRowLock(table: string, rowId: number): string {
  return `${table}/r/${rowId}`;
}

/** The lock of one value of a unique key. */
export function getKeyLock(table: string, keyIndex: number, text: string): string {
  return `${table}/k${keyIndex}/${text}`;
}
