import { assertInvariant } from '../../../src/common/diagnostics/index.js';
import { RecordKind, type Holder } from '../../../src/decisions/control/index.js';
import type { GroupId } from '../../../src/common/ids/index.js';
import { DEFAULT_LEASE_TERMS, getGranterLengthMs } from '../../../src/decisions/leases/index.js';
import type { ReaderFleet, ReaderHost } from './readerFleet.js';

/** A link that carries less than the slots of a group serve. */
export const NARROW_BYTES_PER_SECOND = 250_000;
/** A renewal, a look and two commits. */
const PROMPT_MS = 500;
const LEASE_MS = getGranterLengthMs(DEFAULT_LEASE_TERMS) + 200;
/** Time after which no change has a cause any more. */
const REST_MS = 1500;
const MOST_READERS = 2;
/** One for each instance of a group. */
const MOST_COMMANDS = 3;

/** Checks the readers of a fleet at each step. */
export class ReaderChecks {
  /** What is wrong, and since when. */
  private readonly open = new Map<string, number>();

  constructor(private readonly fleet: ReaderFleet) {}

  /** Throws when something was wrong for too long, or changed without a cause. */
  check(): void {
    const { fleet } = this;
    const found = fleet.groups.flatMap((group) => this.findWrong(group));
    const isWaiting = fleet.nowMs - fleet.leaderSinceMs < LEASE_MS;
    for (const name of this.open.keys()) {
      if (isWaiting || !found.includes(name)) {
        this.open.delete(name);
      }
    }
    for (const name of isWaiting ? [] : found) {
      const sinceMs = this.open.get(name) ?? fleet.nowMs;
      this.open.set(name, sinceMs);
      const boundMs = name.startsWith('lost') ? 0 : PROMPT_MS;
      assertInvariant(fleet.nowMs - sinceMs <= boundMs, name);
    }
    const hadCause = fleet.lastChangeMs - fleet.lastCauseMs <= REST_MS;
    const isEarly = fleet.lastChangeMs - fleet.leaderSinceMs <= LEASE_MS + REST_MS;
    assertInvariant(hadCause || isEarly, 'a reader changed without a cause');
    for (const count of fleet.commands.values()) {
      assertInvariant(count <= MOST_COMMANDS, 'commands of a look are bounded');
    }
  }

  private findWrong(group: GroupId): string[] {
    const { state } = this.fleet;
    const assigned = state.getGroupAssignment(group)?.holder;
    const holder = this.fleet.find(assigned?.host);
    const readers = state.getReaders(group);
    // A primary's reader serves nothing: it is not worth a move.
    const primary = state.getPrimary(group)?.instance;
    const wrong = readers.flatMap(({ instance, holder: reader }) =>
      reader === undefined
        ? []
        : this.findWrongReader(instance, reader, holder, instance === primary),
    );
    if (holder === undefined || !this.isHeard(holder)) {
      return wrong;
    }
    if (holder.linkBytesPerSecond !== NARROW_BYTES_PER_SECOND) {
      return readers.length === 0 ? wrong : [...wrong, `a reader beside a wide link of ${group}`];
    }
    return [...wrong, ...this.findMissing(group)];
  }

  private findWrongReader(
    instance: string,
    reader: Holder,
    holder: ReaderHost | undefined,
    isPrimary: boolean,
  ): string[] {
    const host = this.fleet.find(reader.host);
    const wrong: string[] = [];
    if (host === undefined || this.fleet.nowMs - host.lastRenewalMs > LEASE_MS) {
      wrong.push(`lost host reads ${instance}`);
    } else if (host.isAlive && !this.mayRead(host)) {
      wrong.push(`leaving host reads ${instance}`);
    }
    if (host === holder) {
      wrong.push(`holder reads ${instance}`);
    } else if (!isPrimary && host !== undefined && this.holdsGroup(host) && this.hasSpare()) {
      wrong.push(`holder of another group reads ${instance}`);
    }
    return wrong;
  }

  private findMissing(group: GroupId): string[] {
    const { state } = this.fleet;
    const primary = state.getPrimary(group)?.instance;
    const wrong: string[] = [];
    for (const { instance, domain } of state.getInstances(group)) {
      const isOut = !state.isInService(domain) || state.isLeaving(group, instance);
      const hasReader = state.getReader(group, instance)?.holder !== undefined;
      if (isOut && hasReader) {
        wrong.push(`leaving ${instance} has a reader`);
      } else if (!isOut && !hasReader && instance !== primary && this.hasSpare()) {
        wrong.push(`no reader of ${instance} beside a spare host`);
      }
    }
    return wrong;
  }

  private hasSpare(): boolean {
    return this.fleet.hosts.some(
      (host) =>
        this.isHeard(host) &&
        this.mayRead(host) &&
        !this.holdsGroup(host) &&
        this.countHeld(host, RecordKind.InstanceReader) < MOST_READERS,
    );
  }

  private isHeard(host: ReaderHost): boolean {
    return host.isAlive && this.fleet.nowMs - host.lastRenewalMs <= PROMPT_MS;
  }

  private mayRead(host: ReaderHost): boolean {
    return !host.isStopping && this.fleet.state.isInService(host.domain);
  }

  private holdsGroup(host: ReaderHost): boolean {
    return this.countHeld(host, RecordKind.GroupHolder) > 0;
  }

  private countHeld(host: ReaderHost, kind: RecordKind): number {
    const { state } = this.fleet;
    const leases = state.getHolders().filter((holder) => holder.host === host.host);
    return leases
      .flatMap(({ lease }) => state.getAssignments(lease))
      .filter((each) => each.kind === kind).length;
  }
}
