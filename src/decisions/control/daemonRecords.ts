import {
  toRevision,
  type AccountId,
  type FailureDomain,
  type GroupId,
  type Revision,
} from '../../common/ids/index.js';
import { SubjectKind } from '../tickets/index.js';
import type { ControlRecord, ControlRecordValue } from './controlRecord.js';
import type { InstanceRecord } from './instanceRecord.js';
import { RecordIndex } from './recordIndex.js';
import { RecordKind } from './recordKind.js';
import { RecordLookup } from './recordLookup.js';
import type { RecordUpdate } from './recordUpdate.js';

/** Value for a failure domain that was out of service before this daemon had any record. */
const UNKNOWN_SINCE_MS = -Infinity;

/** A daemon's copy of the replicated records. */
export class DaemonRecords extends RecordLookup {
  private readonly records = new Map<string, ControlRecord>();
  private readonly index = new RecordIndex();
  private appliedRevision = toRevision(0);
  /** When this copy learned that a failure domain is out of service. */
  private readonly outSinceMs = new Map<FailureDomain, number>();

  constructor(
    /** Returns the time in milliseconds. */
    private readonly readTimeMs: () => number = () => 0,
  ) {
    super();
  }

  /** Revision up to which this copy contains all changes. */
  get revision(): Revision {
    return this.appliedRevision;
  }

  /**
   * Applies pushed records and returns those that changed this copy. An update that starts after
   * this copy's revision is ignored: the next renewal brings the missing records.
   */
  applyUpdate(update: RecordUpdate): readonly ControlRecord[] {
    if (update.since > this.appliedRevision) {
      return [];
    }
    return this.applyRecords(update.records, update.revision);
  }

  /**
   * Applies the records of a lease grant, which contain all changes since the renewal's revision,
   * and returns those that changed this copy.
   */
  applyRecords(records: readonly ControlRecord[], revision: Revision): readonly ControlRecord[] {
    const changed = records.filter((record) => this.isNewer(record));
    for (const record of changed) {
      this.recordDomain(record.value);
      this.records.set(record.name, record);
      this.index.add(record.value);
    }
    if (revision > this.appliedRevision) {
      this.appliedRevision = revision;
    }
    return changed;
  }

  /** Returns the revision at which a record last changed; 0 when there is none. */
  override getRecordRevision(name: string): Revision {
    return this.records.get(name)?.revision ?? toRevision(0);
  }

  override getInstances(group: GroupId): readonly InstanceRecord[] {
    return this.index.getInstances(group);
  }

  override getDepartedInstances(group: GroupId): readonly InstanceRecord[] {
    return this.index.getDepartedInstances(group);
  }

  /** Returns the groups with at least one registered instance. */
  getGroups(): readonly GroupId[] {
    return this.index.getGroups();
  }

  getAccounts(): readonly AccountId[] {
    return this.index.getAccounts();
  }

  /**
   * Returns the time since this copy learned that a failure domain is out of service, in
   * milliseconds; 0 while it is in service. It is infinite if the domain was out of service in the
   * first records of this copy.
   */
  getOutOfServiceMs(domain: FailureDomain): number {
    const sinceMs = this.outSinceMs.get(domain);
    return sinceMs === undefined ? 0 : Math.max(0, this.readTimeMs() - sinceMs);
  }

  protected override findValue(name: string): ControlRecordValue | undefined {
    return this.records.get(name)?.value;
  }

  private recordDomain(value: ControlRecordValue): void {
    if (value.kind !== RecordKind.Subject || value.state.kind !== SubjectKind.FailureDomain) {
      return;
    }
    const { domain, inService } = value.state;
    if (inService) {
      this.outSinceMs.delete(domain);
    } else if (!this.outSinceMs.has(domain)) {
      const isFirst = this.appliedRevision === 0;
      this.outSinceMs.set(domain, isFirst ? UNKNOWN_SINCE_MS : this.readTimeMs());
    }
  }

  private isNewer(record: ControlRecord): boolean {
    return record.revision > this.getRecordRevision(record.name);
  }
}
