import type { EventLoop } from './eventLoop.js';
import type { SeededRandom } from './seededRandom.js';

/** How the fake network treats messages between daemons. */
export interface NetworkConditions {
  /** One-way delay between failure domains in milliseconds. */
  delayMs: number;
  /** Largest random addition to the delay; reorders messages. */
  jitterMs: number;
  /** Probability that a message is lost. */
  loss: number;
  /** Probability that a message arrives twice. */
  duplication: number;
}

/** Delivers messages between daemons with delay, loss, duplication, reordering and partitions. */
export class FakeNetwork {
  /** Messages sent between different daemons. */
  sentCount = 0;
  private readonly cutOff = new Set<number>();

  constructor(
    private readonly loop: EventLoop,
    private readonly random: SeededRandom,
    readonly conditions: NetworkConditions,
    private readonly domainOf: (daemon: number) => number,
  ) {}

  /** Cuts a daemon off from all others, or joins it again. */
  setCutOff(daemon: number, isCutOff: boolean): void {
    if (isCutOff) {
      this.cutOff.add(daemon);
    } else {
      this.cutOff.delete(daemon);
    }
  }

  /** Whether two daemons reach each other. */
  isConnected(from: number, to: number): boolean {
    return from === to || (!this.cutOff.has(from) && !this.cutOff.has(to));
  }

  /** Delivers a message, perhaps late, twice or not at all. */
  send(from: number, to: number, deliver: () => void): void {
    if (from === to) {
      this.loop.after(0, deliver);
      return;
    }
    this.sentCount += 1;
    if (this.random.next() < this.conditions.loss) {
      return;
    }
    const copies = this.random.next() < this.conditions.duplication ? 2 : 1;
    for (let copy = 0; copy < copies; copy += 1) {
      this.loop.after(this.getDelayMs(from, to), () => {
        if (this.isConnected(from, to)) {
          deliver();
        }
      });
    }
  }

  /** One-way delay of one message in milliseconds. */
  getDelayMs(from: number, to: number): number {
    const isNear = this.domainOf(from) === this.domainOf(to);
    const baseMs = isNear ? this.conditions.delayMs / 5 : this.conditions.delayMs;
    return baseMs + this.random.next() * this.conditions.jitterMs;
  }
}
