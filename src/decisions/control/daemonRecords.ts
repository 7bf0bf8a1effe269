import { toRevision, type AccountId, type GroupId, type Revision } from '../../common/ids/index.js';
import type { ControlRecord, ControlRecordValue } from './controlRecord.js';
import type { InstanceRecord } from './instanceRecord.js';
import { RecordIndex } from './recordIndex.js';
import { RecordLookup } from './recordLookup.js';
import type { RecordUpdate } from './recordUpdate.js';

/** A daemon's copy of the replicated records. */
export class DaemonRecords extends RecordLookup {
  private readonly records = new Map<string, ControlRecord>();
  private readonly index = new RecordIndex();
  private appliedRevision = toRevision(0);

  /** Revision up to which every change is in this copy. */
  get revision(): Revision {
    return this.appliedRevision;
  }

  /**
   * Takes in pushed records and gives those that changed here. An update that starts after this
   * copy's revision is left out: the next renewal brings what lies between.
   */
  applyUpdate(update: RecordUpdate): readonly ControlRecord[] {
    if (update.since > this.appliedRevision) {
      return [];
    }
    return this.applyRecords(update.records, update.revision);
  }

  /**
   * Takes in the records of a lease grant, which hold every change since the renewal's revision,
   * and gives those that changed here.
   */
  applyRecords(records: readonly ControlRecord[], revision: Revision): readonly ControlRecord[] {
    const changed = records.filter((record) => this.isNewer(record));
    for (const record of changed) {
      this.records.set(record.name, record);
      this.index.add(record.value);
    }
    if (revision > this.appliedRevision) {
      this.appliedRevision = revision;
    }
    return changed;
  }

  /** Revision at which a record last changed; 0 when there is none. */
  getRecordRevision(name: string): Revision {
    return this.records.get(name)?.revision ?? toRevision(0);
  }

  /** The instances of a group. */
  getInstances(group: GroupId): readonly InstanceRecord[] {
    return this.index.getInstances(group);
  }

  /** Every group with a registered instance. */
  getGroups(): readonly GroupId[] {
    return this.index.getGroups();
  }

  /** Every client account. */
  getAccounts(): readonly AccountId[] {
    return this.index.getAccounts();
  }

  protected override findValue(name: string): ControlRecordValue | undefined {
    return this.records.get(name)?.value;
  }

  private isNewer(record: ControlRecord): boolean {
    return record.revision > this.getRecordRevision(record.name);
  }
}
