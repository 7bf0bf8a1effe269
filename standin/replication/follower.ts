import { Diagnostics } from '../../src/common/diagnostics/index.js';
import type { LogPosition } from '../../src/common/ids/index.js';
import type { Logger } from '../../src/common/logging/index.js';
import type { TimerService, Unsubscribe } from '../../src/common/timer/index.js';
import type { Engine } from '../instance/engine.js';
import type { Faults } from '../instance/faults.js';
import type { LogRecord } from '../log/index.js';
import type { HttpClient } from '../platform/httpClient.js';
import { LogStream } from './logStream.js';
import { ReplayQueue } from './replayQueue.js';
import { replicationStateSchema, type ReplicationState } from './replicationState.js';

const STATE_TIMEOUT_MS = 500;

/** What a follower works with. */
export interface FollowerParts {
  readonly engine: Engine;
  readonly faults: Faults;
  readonly client: HttpClient;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly pollIntervalMs: number;
  /** The HTTP addresses of the other instances. */
  readonly getPeers: () => readonly string[];
  /** Called when the instance stopped being primary or dropped records. */
  readonly historyChanged: () => void;
}

interface PeerState {
  readonly address: string;
  readonly state: ReplicationState;
}

/** Finds the primary of the highest term among the peers and copies its log. */
export class Follower {
  private readonly queue: ReplayQueue;
  private stream: LogStream | undefined;
  private copyUntil: LogPosition | undefined;
  private isCopied = false;
  /** Peers that were asked for their state and have not answered yet. */
  private readonly asked = new Set<string>();
  /** The last answers of the peers that answer. */
  private readonly seen = new Map<string, PeerState>();
  private endPolls: Unsubscribe | undefined;

  constructor(private readonly parts: FollowerParts) {
    this.queue = new ReplayQueue(parts.faults, parts.timer, (record) => this.replay(record));
  }

  /** Whether the instance once held all that its primary had when it was found. */
  get hasCopied(): boolean {
    return this.isCopied;
  }

  /** Begins to look for a primary. */
  start(): void {
    this.endPolls = this.parts.timer.subscribe(this.parts.pollIntervalMs, () => void this.poll());
  }

  /** Stops following. */
  stop(): void {
    this.endPolls?.();
    this.endPolls = undefined;
    this.disconnect();
  }

  /** Ends the stream and drops what was not replayed yet. */
  disconnect(): void {
    this.stream?.close();
    this.stream = undefined;
    this.queue.clear();
  }

  /** The states of the peers that answer. */
  async fetchPeers(): Promise<readonly PeerState[]> {
    const states = await Promise.all(this.parts.getPeers().map((peer) => this.fetchPeer(peer)));
    return states.flatMap((state) => state ?? []);
  }

  /** Looks at the peers once and follows the primary of the highest term as soon as it answers. */
  async poll(): Promise<void> {
    if (this.isIsolated()) {
      return;
    }
    const peers = this.parts.getPeers().filter((peer) => !this.asked.has(peer));
    await Promise.all(peers.map((peer) => this.look(peer)));
  }

  private async look(peer: string): Promise<void> {
    this.asked.add(peer);
    try {
      const state = await this.fetchPeer(peer);
      if (state === undefined) {
        this.seen.delete(peer);
      } else {
        this.seen.set(peer, state);
        this.followBest();
      }
    } finally {
      this.asked.delete(peer);
    }
  }

  private followBest(): void {
    const primary = findPrimary([...this.seen.values()]);
    if (primary !== undefined && this.endPolls !== undefined && !this.isIsolated()) {
      this.follow(primary);
    }
  }

  private async fetchPeer(address: string): Promise<PeerState | undefined> {
    const path = '/replication/state';
    const call = { address, method: 'GET', path, timeoutMs: STATE_TIMEOUT_MS } as const;
    const answer = await this.parts.client.call(call);
    const state = replicationStateSchema.safeParse(answer.unwrapOr(undefined));
    return state.success ? { address, state: state.data } : undefined;
  }

  private isIsolated(): boolean {
    return this.parts.faults.cutOff || this.parts.faults.replicationStopped;
  }

  private follow({ address, state }: PeerState): void {
    const { engine, logger, historyChanged } = this.parts;
    const term = getHighestTerm(state);
    const isNews = term > engine.log.highestTerm;
    if (!isNews && (this.stream !== undefined || term < engine.log.highestTerm)) {
      return;
    }
    if (!isNews && !engine.isReplica) {
      return;
    }
    this.disconnect();
    const wasPrimary = !engine.isReplica;
    const { position } = engine.log;
    engine.demote();
    const wasTruncated = engine.follow(state.history);
    if (wasTruncated) {
      const values = { from: position, to: engine.log.position, term };
      logger.report(Diagnostics.LogTruncated, values, { step: 'replication.follow' });
    }
    if (wasPrimary || wasTruncated) {
      historyChanged();
    }
    logger.report(Diagnostics.InstanceFollows, { primary: state.instance, term });
    this.copyUntil ??= state.position;
    this.markCopied();
    this.connect(address, term);
  }

  private connect(address: string, term: number): void {
    const { client, timer, engine } = this.parts;
    const path = `/replication/stream?after=${engine.log.position}&term=${term}`;
    const stream = new LogStream(
      client.open(address, path),
      timer,
      (record) => this.queue.add(record),
      () => {
        this.stream = undefined;
        this.queue.clear();
        void this.poll();
      },
    );
    this.stream = stream;
  }

  private replay(record: LogRecord): void {
    this.parts.engine.replay(record);
    this.markCopied();
  }

  private markCopied(): void {
    const { copyUntil } = this;
    this.isCopied ||= copyUntil !== undefined && this.parts.engine.log.position >= copyUntil;
  }
}

function findPrimary(peers: readonly PeerState[]): PeerState | undefined {
  return peers
    .filter(({ state }) => state.isPrimary)
    .sort((left, right) => getHighestTerm(right.state) - getHighestTerm(left.state))[0];
}

function getHighestTerm({ history }: ReplicationState): number {
  return history.at(-1)?.term ?? 0;
}
