import { toFailureDomain, toInstanceId } from '../../src/common/ids/index.js';
import type { InstanceView } from '../../src/decisions/routing/index.js';
import type { SeededRandom } from '../experiment/seededRandom.js';
import type { ModelReplica, Scenario } from './scenario.js';

const LATENCY_WEIGHT = 0.1;

interface Completion {
  readonly endMs: number;
  readonly latencyMs: number;
}

/** One replica with first-come slots and the holder's moving average of its latency. */
export class ModelInstance {
  private readonly slotFreeMs: number[];
  private pending: Completion[] = [];
  private latencyMs = 1;

  constructor(
    private readonly name: string,
    private readonly replica: ModelReplica,
    private readonly scenario: Scenario,
    private readonly random: SeededRandom,
  ) {
    this.slotFreeMs = new Array<number>(replica.slots).fill(0);
  }

  /** What the holder knows of it. */
  getView(nowMs: number): InstanceView {
    this.complete(nowMs);
    return {
      instance: toInstanceId(this.name),
      domain: toFailureDomain(this.replica.domain),
      slots: this.replica.slots,
      load: this.pending.length,
      latencyMs: this.latencyMs,
      reachable: true,
      inService: true,
      withdrawn: false,
      position: undefined,
      ageMs: 0,
      slowStartWeight: 1,
    };
  }

  /** Runs one read and returns its delay, in milliseconds. */
  run(nowMs: number): number {
    const slot = this.slotFreeMs.indexOf(Math.min(...this.slotFreeMs));
    const startMs = Math.max(nowMs, this.slotFreeMs[slot] ?? 0);
    const latencyMs = this.getServiceMs(startMs) + this.replica.roundTripMs;
    const endMs = startMs + latencyMs;
    this.slotFreeMs[slot] = endMs;
    this.pending.push({ endMs, latencyMs });
    return endMs - nowMs;
  }

  private getServiceMs(startMs: number): number {
    const { slowFromMs, slowUntilMs } = this.scenario;
    const isSlow = startMs >= slowFromMs && startMs < slowUntilMs;
    const meanMs = this.replica.serviceMs * (isSlow ? this.replica.slowFactor : 1);
    return this.random.nextExponential(meanMs);
  }

  private complete(nowMs: number): void {
    const done = this.pending.filter(({ endMs }) => endMs <= nowMs);
    this.pending = this.pending.filter(({ endMs }) => endMs > nowMs);
    done.sort((left, right) => left.endMs - right.endMs);
    for (const { latencyMs } of done) {
      this.latencyMs += (latencyMs - this.latencyMs) * LATENCY_WEIGHT;
    }
  }
}
