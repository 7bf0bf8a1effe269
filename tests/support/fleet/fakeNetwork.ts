import type { RandomSource } from '../../../src/common/random.js';

const MAXIMUM_DELAY_MS = 15;
const LATE_DELAY_MS = 2500;

/** How often messages are lost, come twice or come late. */
export interface NetworkFaults {
  readonly loss: number;
  readonly duplication: number;
  readonly lateness: number;
}

interface Message {
  readonly atMs: number;
  readonly deliver: () => void;
}

/** Carries messages between named nodes; nodes on different sides do not reach each other. */
export class FakeNetwork {
  private readonly sides = new Map<string, number>();
  private readonly cuts = new Set<string>();
  private messages: Message[] = [];

  constructor(
    private readonly random: RandomSource,
    public faults: NetworkFaults,
  ) {}

  separate(node: string, side: number): void {
    this.sides.set(node, side);
  }

  /** Cuts two nodes off from each other alone. */
  cut(first: string, second: string): void {
    this.cuts.add(`${first} ${second}`);
    this.cuts.add(`${second} ${first}`);
  }

  /** Cuts the way in one direction. */
  cutOneWay(from: string, to: string): void {
    this.cuts.add(`${from} ${to}`);
  }

  heal(): void {
    this.sides.clear();
    this.cuts.clear();
  }

  isReachable(from: string, to: string): boolean {
    const isCut = this.cuts.has(`${from} ${to}`);
    return !isCut && (this.sides.get(from) ?? 0) === (this.sides.get(to) ?? 0);
  }

  send(from: string, to: string, nowMs: number, deliver: () => void): void {
    if (!this.isReachable(from, to) || this.random.next() < this.faults.loss) {
      return;
    }
    this.carry(nowMs, deliver);
    if (this.random.next() < this.faults.duplication) {
      this.carry(nowMs, deliver);
    }
  }

  /** Delivers what is due. */
  step(nowMs: number): void {
    const due = this.messages.filter((message) => message.atMs <= nowMs);
    this.messages = this.messages.filter((message) => message.atMs > nowMs);
    due.sort((first, second) => first.atMs - second.atMs);
    for (const message of due) {
      message.deliver();
    }
  }

  private carry(nowMs: number, deliver: () => void): void {
    const isLate = this.random.next() < this.faults.lateness;
    const delayMs = this.random.next() * (isLate ? LATE_DELAY_MS : MAXIMUM_DELAY_MS);
    this.messages.push({ atMs: nowMs + 1 + delayMs, deliver });
  }
}
