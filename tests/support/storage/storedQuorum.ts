import { toFailureDomain, toIncarnation } from '../../../src/common/ids/index.js';
import { ManualTimerService } from '../../../src/common/timer/index.js';
import { QuorumMember, type QuorumListener } from '../../../src/daemon/control/quorumMember.js';
import { RequestIds } from '../../../src/daemon/requests/index.js';
import {
  createFoundingState,
  defaultConsensusSettings,
  toMemberId,
  type MemberId,
} from '../../../src/decisions/consensus/index.js';
import {
  canKeepLog,
  CommandKind,
  ControlState,
  type Command,
} from '../../../src/decisions/control/index.js';
import { SeededRandom } from '../seededRandom.js';
import { FakeDisk } from './fakeDisk.js';
import { createStorage } from './openState.js';
import { passTime } from './turns.js';

const LINK_MS = 1;
const STEP_MS = 5;
/** Time after which a host whose process ended is started again, as service managers do. */
const RESTART_MS = 1200;
const RETRY_MS = 50;
const FITNESS_INTERVAL_MS = 200;
const settings = { ...defaultConsensusSettings, snapshotEntries: 25, trailingEntries: 5 };

/** A host with a disk and, while its process runs, a member of the quorum. */
export interface StoredHost {
  readonly identity: MemberId;
  readonly disk: FakeDisk;
  state: ControlState;
  member: QuorumMember | undefined;
}

/** A change that callers want to be in force. */
export interface WantedChange {
  readonly sentMs: number;
  acknowledgedMs: number | undefined;
}

/** The members of a quorum with their storage, on fake disks, links and time. */
export class StoredQuorum {
  readonly random: SeededRandom;
  readonly timer = new ManualTimerService();
  readonly hosts: readonly StoredHost[];
  readonly changes: WantedChange[] = [];
  /** How often a process ended by itself. */
  ends = 0;
  private readonly ids = new RequestIds(toIncarnation('quorum'));

  constructor(seed: number, hostCount: number) {
    this.random = new SeededRandom(seed);
    this.hosts = Array.from({ length: hostCount }, (_, index) => ({
      identity: toMemberId(`host-${index}`),
      disk: new FakeDisk(),
      state: new ControlState(),
      member: undefined,
    }));
  }

  /** The host that leads the newest term. */
  get leader(): StoredHost | undefined {
    return this.hosts
      .filter(({ member }) => member?.isLeader === true)
      .sort((left, right) => (right.member?.term ?? 0) - (left.member?.term ?? 0))[0];
  }

  async start(): Promise<void> {
    await Promise.all(this.hosts.map((host) => this.startHost(host)));
    await this.pass(1000);
  }

  pass(durationMs: number): Promise<void> {
    return passTime(this.timer, durationMs, STEP_MS);
  }

  /** Sends a change to the leader, again and again until it is acknowledged. */
  want(): void {
    const change = { sentMs: this.timer.now(), acknowledgedMs: undefined };
    const domain = toFailureDomain(`domain-${this.changes.length}`);
    this.changes.push(change);
    this.send(change, { kind: CommandKind.SwitchDomain, domain, inService: false });
  }

  /** The longest time that a change took or has waited, in milliseconds, from the given one on. */
  getLongestMs(first = 0): number {
    const nowMs = this.timer.now();
    const times = this.changes
      .slice(first)
      .map(({ sentMs, acknowledgedMs = nowMs }) => acknowledgedMs - sentMs);
    return Math.max(0, ...times);
  }

  /** Takes a host's power away and gives it back after a time. */
  async cutPower(host: StoredHost, durationMs: number): Promise<void> {
    const { member } = host;
    host.member = undefined;
    host.disk.cutPowerAfter(0);
    await member?.stop();
    host.disk.crash(this.random);
    this.timer.once(durationMs, () => void this.startHost(host));
  }

  private async startHost(host: StoredHost): Promise<void> {
    const storage = createStorage<Command>(host.disk, this.timer);
    const voters = this.hosts.map(({ identity }) => identity);
    const founding = { identity: host.identity, state: createFoundingState<Command>(voters) };
    const opened = await storage.open(() => founding);
    if (opened.isErr()) {
      this.endHost(host);
      return;
    }
    const { ids, timer, random } = this;
    const state = new ControlState();
    const listener = this.createListener(host, () => member);
    const member = new QuorumMember(
      opened.value,
      storage,
      state,
      ids,
      timer,
      random,
      settings,
      listener,
    );
    host.state = state;
    host.member = member;
    member.start(undefined);
    timer.subscribe(FITNESS_INTERVAL_MS, () => {
      if (host.member === member && !canKeepLog(member.refusedMs)) {
        member.yieldLeadership();
      }
    });
  }

  private createListener(host: StoredHost, getMember: () => QuorumMember): QuorumListener {
    const isRunning = (): boolean => host.member === getMember();
    return {
      send: (to, message) => {
        const receiver = this.hosts.find(({ identity }) => identity === to);
        if (isRunning()) {
          this.timer.once(LINK_MS, () => receiver?.member?.receive(message));
        }
      },
      committed: () => undefined,
      leadershipChanged: () => undefined,
      snapshotRefused: () => undefined,
      storageFailed: () => {
        if (isRunning()) {
          this.endHost(host);
        }
      },
    };
  }

  private endHost(host: StoredHost): void {
    this.ends++;
    void host.member?.stop();
    host.member = undefined;
    this.timer.once(RESTART_MS, () => void this.startHost(host));
  }

  private send(change: WantedChange, command: Command): void {
    const again = (): void => {
      this.timer.once(RETRY_MS, () => this.send(change, command));
    };
    const { leader } = this;
    if (leader?.member === undefined) {
      again();
      return;
    }
    void leader.member.propose(command).then((answered) => {
      if (answered.isErr()) {
        again();
      } else {
        change.acknowledgedMs = this.timer.now();
      }
    });
  }
}
