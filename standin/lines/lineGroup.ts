import type { TimerService } from '../../src/common/timer/index.js';
import { LineInstance } from './lineInstance.js';
import type { StatementWatch } from './statementWatch.js';

/** Time that a commit takes to a replica, in milliseconds. */
const NETWORK_MS = 1;

/** One committed write. */
export interface LineCommit {
  readonly term: number;
  readonly number: number;
  readonly changes: readonly (readonly [item: string, data: string])[];
  /** Ids of the statements that wrote. */
  readonly statements: readonly string[];
}

/** Times and sizes of a group's instances. */
export interface LineGroupOptions {
  readonly service: string;
  readonly slots: number;
  readonly connectionLimit: number;
  /** Time that a statement holds its slot, in milliseconds; may be changed at any time. */
  workMs: number;
  /** Time from receiving a commit until it can be read, in milliseconds. */
  readonly lagMs: number;
  /** Time from an order until the instance leads, in milliseconds. */
  readonly promoteMs: number;
  /** Whether orders with an outdated fencing token are refused; default true. */
  readonly checksTokens?: boolean;
}

/** A model of one database group of the platform: its log, its replication and its promotions. */
export class LineGroup {
  readonly instances: LineInstance[] = [];
  /** Commits that a promotion rolled back. */
  readonly rolledBack: LineCommit[] = [];
  /** How often an acknowledged commit was not in the log of a promoted instance. */
  lostCommits = 0;
  /** How often an order with an outdated token was carried out. */
  lowerTokens = 0;
  private highestToken = 0;

  constructor(
    readonly options: LineGroupOptions,
    readonly timer: TimerService,
    /** Looks at each statement that an instance receives; may be exchanged at any time. */
    public watch?: StatementWatch,
  ) {}

  get primary(): LineInstance | undefined {
    return this.instances.find(({ role }) => role === 'primary');
  }

  /** Adds an instance; the first one is the primary. */
  add(id: string, domain: string, address: string): LineInstance {
    const instance = new LineInstance(this, id, domain, address);
    instance.role = this.instances.length === 0 ? 'primary' : 'replica';
    this.instances.push(instance);
    return instance;
  }

  /** Sends the primary's log to the running replicas; calls back when the first one has it. */
  replicate(from: LineInstance, onReceived: () => void): void {
    let isReceived = false;
    for (const replica of this.instances) {
      if (replica !== from) {
        this.timer.once(NETWORK_MS, () => {
          if (from.role === 'primary' && replica.receive(from)) {
            if (!isReceived) {
              isReceived = true;
              onReceived();
            }
          }
        });
      }
    }
  }

  /** Takes an order; gives the status of its answer. */
  promote(id: string, token: number): number {
    const chosen = this.instances.find((each) => each.id === id);
    if (this.isOutdated(token) || chosen?.isRunning !== true) {
      return 409;
    }
    this.lowerTokens += token < this.highestToken ? 1 : 0;
    this.highestToken = Math.max(token, this.highestToken);
    if (chosen.role !== 'primary') {
      this.timer.once(this.options.promoteMs, () => this.lead(chosen, token));
    }
    return 200;
  }

  /** Brings a replica that was away up to the primary's log. */
  catchUp(replica: LineInstance): void {
    const { primary } = this;
    if (primary !== undefined && primary !== replica && primary.isRunning) {
      replica.receive(primary);
    }
  }

  private isOutdated(token: number): boolean {
    return this.options.checksTokens !== false && token < this.highestToken;
  }

  private lead(chosen: LineInstance, token: number): void {
    if (this.isOutdated(token) || !chosen.isRunning || chosen.role === 'primary') {
      return;
    }
    const previous = this.primary;
    for (const commit of previous?.log.slice(chosen.log.length) ?? []) {
      this.rolledBack.push(commit);
      this.lostCommits += previous?.acknowledged.has(commit.number) === true ? 1 : 0;
    }
    previous?.demote();
    chosen.lead();
    for (const replica of this.instances) {
      this.catchUp(replica);
    }
  }
}
