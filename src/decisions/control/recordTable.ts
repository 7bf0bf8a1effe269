import { toRevision, type Revision } from '../../common/ids/index.js';
import type { ControlRecord, ControlRecordValue } from './controlRecord.js';
import { getRecordName } from './recordNames.js';

const COMPACTION_SLACK = 1024;

/** Table of the replicated records, with the order of their changes. */
export class RecordTable {
  private readonly records = new Map<string, ControlRecord>();
  /** Changes by ascending revision; superseded changes are skipped, and dropped on compaction. */
  private changes: ControlRecord[] = [];

  /** Revision of the last change; 0 when there is none. */
  get revision(): Revision {
    return this.changes.at(-1)?.revision ?? toRevision(0);
  }

  get(name: string): ControlRecord | undefined {
    return this.records.get(name);
  }

  /** Overwrites the record that the value belongs to. */
  set(value: ControlRecordValue, revision: Revision): ControlRecord {
    const record = { name: getRecordName(value), revision, value };
    this.put(record);
    return record;
  }

  /** Stores a record with its name and revision unchanged. */
  put(record: ControlRecord): void {
    this.records.set(record.name, record);
    this.changes.push(record);
    if (this.changes.length > 2 * this.records.size + COMPACTION_SLACK) {
      this.changes = this.changes.filter((change) => this.isCurrent(change));
    }
  }

  /** Returns the records whose revision is above `since`, by ascending revision. */
  getSince(since: Revision): ControlRecord[] {
    const found: ControlRecord[] = [];
    for (let index = this.findAfter(since); index < this.changes.length; index++) {
      const change = this.changes[index];
      if (change !== undefined && this.isCurrent(change)) {
        found.push(change);
      }
    }
    return found;
  }

  clear(): void {
    this.records.clear();
    this.changes = [];
  }

  private isCurrent(record: ControlRecord): boolean {
    return this.records.get(record.name) === record;
  }

  private findAfter(since: Revision): number {
    let low = 0;
    let high = this.changes.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const change = this.changes[middle];
      if (change !== undefined && change.revision <= since) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
