import { Counter, Gauge, type Registry } from 'prom-client';
import type { GroupId } from '../ids/index.js';

/** Decision that a remote share belongs to. */
export enum LocalityStage {
  /** An entry host's choice between readers. */
  Entry = 'entry',
  /** A holder's choice between replicas. */
  Holder = 'holder',
}

interface DomainTraffic {
  readonly stage: LocalityStage;
  readonly domain: 'own' | 'other';
  requests: number;
  bytes: number;
}

/**
 * Requests and bytes by own or other failure domain, and the remote shares in force. Plain numbers
 * are copied to the metrics when these are collected, since a labelled counter costs too much for
 * each request.
 */
export class LocalityMetrics {
  private readonly traffic: readonly DomainTraffic[] = Object.values(LocalityStage).flatMap(
    (stage): DomainTraffic[] => [
      { stage, domain: 'own', requests: 0, bytes: 0 },
      { stage, domain: 'other', requests: 0, bytes: 0 },
    ],
  );
  private readonly shares: Readonly<Record<LocalityStage, Map<GroupId, number>>> = {
    [LocalityStage.Entry]: new Map(),
    [LocalityStage.Holder]: new Map(),
  };

  constructor(
    registry: Registry,
    private readonly maximumLabels: number,
  ) {
    this.addCounter(
      registry,
      'filbertpoint_domain_requests_total',
      'Requests to readers (entry) and replicas (holder), by own or other failure domain.',
      ({ requests }) => requests,
    );
    this.addCounter(
      registry,
      'filbertpoint_domain_bytes_total',
      'Bytes of those requests and their answers, without headers.',
      ({ bytes }) => bytes,
    );
    this.addShares(registry);
  }

  /** Counts a request with the bytes that it and its answer took. */
  recordRequest(stage: LocalityStage, isOwn: boolean, byteLength: number): void {
    const domain = isOwn ? 'own' : 'other';
    const traffic = this.traffic.find((each) => each.stage === stage && each.domain === domain);
    if (traffic !== undefined) {
      traffic.requests += 1;
      traffic.bytes += byteLength;
    }
  }

  /** Sets the remote share of a group; groups beyond the label limit are omitted. */
  setShare(stage: LocalityStage, group: GroupId, share: number): void {
    const shares = this.shares[stage];
    if (shares.has(group) || shares.size < this.maximumLabels) {
      shares.set(group, share);
    }
  }

  private addCounter(
    registry: Registry,
    name: string,
    help: string,
    getValue: (traffic: DomainTraffic) => number,
  ): void {
    const { traffic } = this;
    new Counter<'stage' | 'domain'>({
      name,
      help,
      labelNames: ['stage', 'domain'],
      registers: [registry],
      collect() {
        this.reset();
        for (const each of traffic.filter(({ requests }) => requests > 0)) {
          this.inc({ stage: each.stage, domain: each.domain }, getValue(each));
        }
      },
    });
  }

  private addShares(registry: Registry): void {
    const { shares } = this;
    new Gauge<'stage' | 'group'>({
      name: 'filbertpoint_remote_share',
      help: 'Share of requests that leave the own failure domain while it has an instance.',
      labelNames: ['stage', 'group'],
      registers: [registry],
      collect() {
        this.reset();
        for (const stage of Object.values(LocalityStage)) {
          for (const [group, share] of shares[stage]) {
            this.set({ stage, group }, share);
          }
        }
      },
    });
  }
}
