import type { SeededRandom } from '../seededRandom.js';
import type { EventQueue } from './eventQueue.js';

/** How badly messages fare. */
export interface NetworkQuality {
  readonly lossProbability: number;
  readonly repeatProbability: number;
  readonly lateProbability: number;
  readonly usualDelayMs: number;
  readonly lateDelayMs: number;
}

/** A network within one region that works. */
export const soundNetwork: NetworkQuality = {
  lossProbability: 0,
  repeatProbability: 0,
  lateProbability: 0,
  usualDelayMs: 3,
  lateDelayMs: 0,
};

/** A network that loses, repeats, delays and reorders. */
export const poorNetwork: NetworkQuality = {
  lossProbability: 0.05,
  repeatProbability: 0.05,
  lateProbability: 0.05,
  usualDelayMs: 4,
  lateDelayMs: 600,
};

/** Carries messages between hosts over links that can be cut in one direction. */
export class SimulatedNetwork {
  private readonly cut = new Set<string>();

  constructor(
    private readonly events: EventQueue,
    private readonly random: SeededRandom,
    public quality: NetworkQuality,
  ) {}

  /** Cuts the link in one direction. */
  cutLink(from: number, to: number): void {
    this.cut.add(`${from}>${to}`);
  }

  /** Cuts a host off in both directions. */
  isolate(host: number, hostCount: number): void {
    for (let other = 0; other < hostCount; other++) {
      if (other !== host) {
        this.cutLink(host, other);
        this.cutLink(other, host);
      }
    }
  }

  /** Mends all links. */
  heal(): void {
    this.cut.clear();
  }

  /** Sends; `deliver` runs never, once or twice, after some time. */
  send(from: number, to: number, deliver: () => void): void {
    const copies = this.random.chance(this.quality.repeatProbability) ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      if (!this.random.chance(this.quality.lossProbability)) {
        this.events.schedule(this.drawDelay(), () => {
          if (!this.cut.has(`${from}>${to}`)) {
            deliver();
          }
        });
      }
    }
  }

  private drawDelay(): number {
    const { quality, random } = this;
    const isLate = random.chance(quality.lateProbability);
    const usualMs = quality.usualDelayMs * (0.5 + random.next() / 2);
    return isLate ? usualMs + random.next() * quality.lateDelayMs : usualMs;
  }
}
