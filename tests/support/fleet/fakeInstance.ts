import {
  toLogPosition,
  toTerm,
  type FailureDomain,
  type GroupId,
  type InstanceId,
  type LogPosition,
  type Term,
} from '../../../src/common/ids/index.js';
import { InstanceRole, type Announcement } from '../../../src/decisions/control/index.js';

/** A backend server whose log is a list of entry names; its position is the list's length. */
export class FakeInstance {
  entries: string[] = [];
  role = InstanceRole.Replica;
  term: Term = toTerm(1);
  isAlive = true;
  /** Entries that it copies from its primary in one step; 0 when it has fallen behind. */
  copyRate = 1000;
  private promotedTerm: Term | undefined;
  private promotedPosition = toLogPosition(0);

  constructor(
    readonly group: GroupId,
    readonly instance: InstanceId,
    readonly domain: FailureDomain,
  ) {}

  get position(): LogPosition {
    return toLogPosition(this.entries.length);
  }

  /** Becomes primary of a term; the same order again gives the same answer. */
  promote(term: Term): LogPosition | undefined {
    if (this.promotedTerm === term) {
      return this.promotedPosition;
    }
    if (term <= this.term) {
      return undefined;
    }
    this.role = InstanceRole.Primary;
    this.term = term;
    this.promotedTerm = term;
    this.promotedPosition = this.position;
    return this.position;
  }

  /** Copies from a primary; what it has beyond their common history is dropped. */
  follow(primary: FakeInstance): void {
    if (primary.term < this.term || primary === this) {
      return;
    }
    this.role = InstanceRole.Replica;
    let common = Math.min(this.entries.length, primary.entries.length);
    while (common > 0 && this.entries[common - 1] !== primary.entries[common - 1]) {
      common--;
    }
    if (this.term < primary.term || common < this.entries.length) {
      this.entries.length = common;
    }
    this.term = primary.term;
    this.entries.push(...primary.entries.slice(common, common + this.copyRate));
  }

  announce(): Announcement {
    const { group, instance, domain, role, term, position } = this;
    const address = `127.1.0.1:${instance.length}`;
    return {
      ...{ group, instance, domain, address, platform: address, role, term, position },
      ...{ slots: 2, connectionLimit: 10, leaving: false },
    };
  }
}
