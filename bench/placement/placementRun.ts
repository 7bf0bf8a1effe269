import { performance } from 'node:perf_hooks';
import {
  toFailureDomain,
  toHostId,
  type FailureDomain,
  type HostId,
} from '../../src/common/ids/index.js';
import { Placement, type PlacementPolicy } from '../../src/decisions/control/index.js';
import type { FleetSize } from './fleetSize.js';

const SLOW_START_MS = 30_000;
const MOVE_INTERVAL_MS = 1000;
const MICROSECONDS_PER_MS = 1000;

/** What one run of a policy over one size of fleet gave. */
export interface PlacementResult {
  readonly policy: string;
  readonly size: string;
  readonly decisionMicroseconds: number;
  readonly slowestDecisionMicroseconds: number;
  /** Highest load over the mean. */
  readonly balance: number;
  /** Share of groups held in the failure domain of their primary. */
  readonly nearShare: number;
  readonly movesPerHostLost: number;
  readonly movesOnHostReturn: number;
  readonly movesOnDomainOut: number;
  readonly balanceWhileOut: number;
  readonly movesOnDomainBack: number;
  readonly balanceAfter: number;
}

/** Places the groups of a fleet, loses and returns hosts and a failure domain, and counts. */
export class PlacementRun {
  private readonly placement: Placement;
  private readonly hosts: { readonly host: HostId; readonly domain: FailureDomain }[] = [];
  private readonly holders = new Map<string, HostId>();
  private readonly primaries = new Map<string, FailureDomain>();
  private readonly decisionMs: number[] = [];
  private nowMs = 0;

  constructor(
    private readonly policy: PlacementPolicy,
    private readonly size: FleetSize,
  ) {
    this.placement = new Placement(policy);
    for (let index = 0; index < size.daemons; index++) {
      const domain = toFailureDomain(`d${index % size.domains}`);
      this.hosts.push({ host: toHostId(`h${index}`), domain });
    }
  }

  run(): PlacementResult {
    this.start();
    const balance = this.getBalance();
    const nearShare = this.getNearShare();
    const lost = this.loseHosts();
    const out = this.takeDomainOut();
    const balanceWhileOut = this.getBalance();
    const movesOnDomainBack = this.takeDomainBack();
    return {
      policy: this.policy.constructor.name,
      size: this.size.name,
      decisionMicroseconds: mean(this.decisionMs) * MICROSECONDS_PER_MS,
      slowestDecisionMicroseconds: Math.max(...this.decisionMs) * MICROSECONDS_PER_MS,
      ...{ balance, nearShare, balanceWhileOut, movesOnDomainBack },
      movesPerHostLost: lost.moves / this.size.hostsLost,
      movesOnHostReturn: lost.movesBack / this.size.hostsLost,
      movesOnDomainOut: out,
      balanceAfter: this.getBalance(),
    };
  }

  private start(): void {
    for (const { host, domain } of this.hosts) {
      this.placement.addHost({ host, domain, sinceMs: 0, warmAtMs: 0 });
    }
    for (let index = 0; index < this.size.groups; index++) {
      const group = `g${index}`;
      this.primaries.set(group, toFailureDomain(`d${(index * 7) % this.size.domains}`));
      this.place(group);
    }
  }

  private loseHosts(): { readonly moves: number; readonly movesBack: number } {
    let moves = 0;
    let movesBack = 0;
    for (let index = 0; index < this.size.hostsLost; index++) {
      const lost = this.hosts[(index * 67) % this.hosts.length];
      if (lost !== undefined) {
        moves += this.lose([lost.host]);
        this.add([lost]);
        movesBack += this.rebalance();
      }
    }
    return { moves, movesBack };
  }

  private takeDomainOut(): number {
    const gone = this.hosts.filter((each) => each.domain === 'd0');
    for (const [group, domain] of this.primaries) {
      if (domain === 'd0') {
        const next = 1 + (group.length % (this.size.domains - 1));
        this.primaries.set(group, toFailureDomain(`d${next}`));
      }
    }
    return this.lose(gone.map((each) => each.host));
  }

  private takeDomainBack(): number {
    this.add(this.hosts.filter((each) => each.domain === 'd0'));
    return this.rebalance();
  }

  private lose(hosts: readonly HostId[]): number {
    const gone = new Set(hosts);
    for (const host of hosts) {
      this.placement.removeHost(host);
    }
    const orphans = [...this.holders].filter(([, host]) => gone.has(host));
    for (const [group] of orphans) {
      this.placement.place(group, undefined);
    }
    for (const [group] of orphans) {
      this.place(group);
    }
    return orphans.length;
  }

  private add(hosts: readonly { readonly host: HostId; readonly domain: FailureDomain }[]): void {
    for (const { host, domain } of hosts) {
      const warmAtMs = this.nowMs + SLOW_START_MS;
      this.placement.addHost({ host, domain, sinceMs: this.nowMs, warmAtMs });
    }
  }

  /** Moves one group at a time until the slow start is over and the load is balanced. */
  private rebalance(): number {
    const endMs = this.nowMs + 2 * SLOW_START_MS;
    let moves = 0;
    while (moves < 2 * this.size.groups) {
      this.nowMs += MOVE_INTERVAL_MS;
      const move = this.placement.findMove(this.nowMs);
      const group = move && this.findGroup(move.from);
      if (group !== undefined) {
        this.placement.place(group, undefined);
        this.place(group);
        moves++;
      } else if (this.nowMs >= endMs) {
        break;
      }
    }
    return moves;
  }

  private findGroup(host: HostId): string | undefined {
    for (const [group, holder] of this.holders) {
      if (holder === host) {
        return group;
      }
    }
    return undefined;
  }

  private place(group: string): void {
    const near = this.primaries.get(group);
    const startMs = performance.now();
    const request = near === undefined ? { key: group } : { key: group, near };
    const host = this.placement.choose(request, this.nowMs);
    this.placement.place(group, host);
    this.decisionMs.push(performance.now() - startMs);
    if (host !== undefined) {
      this.holders.set(group, host);
    }
  }

  private getBalance(): number {
    const loads = this.hosts
      .filter((each) => this.placement.isEligible(each.host))
      .map((each) => this.placement.getLoad(each.host));
    return Math.max(...loads) / mean(loads);
  }

  private getNearShare(): number {
    const domains = new Map(this.hosts.map((each) => [each.host, each.domain]));
    const near = [...this.holders].filter(
      ([group, host]) => domains.get(host) === this.primaries.get(group),
    );
    return near.length / this.holders.size;
  }
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
