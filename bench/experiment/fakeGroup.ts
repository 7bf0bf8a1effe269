import type { EventLoop } from './eventLoop.js';
import type { ExperimentRequest } from './experimentRequest.js';
import type { FakeInstance } from './fakeInstance.js';
import type { SeededRandom } from './seededRandom.js';

/** A fake database group: a primary, replicas with a lag, and the daemon that holds them. */
export class FakeGroup {
  holder: number | undefined;
  private primary: number | undefined = 0;
  private readonly lastWriteMs = new Map<string, number>();
  private held: ExperimentRequest[] = [];

  constructor(
    private readonly loop: EventLoop,
    private readonly random: SeededRandom,
    readonly instances: readonly FakeInstance[],
    private readonly lagMs: number,
    holder: number,
  ) {
    this.holder = holder;
  }

  /** Sends a request to an instance, or keeps it until there is one. */
  route(request: ExperimentRequest): void {
    const replica = request.isWrite ? undefined : this.pickReplica(request);
    const target = replica ?? this.getPrimary();
    if (this.holder === undefined || target === undefined) {
      this.held.push(request);
    } else {
      request.onReplica = replica !== undefined;
      target.enqueue(request);
    }
  }

  /** Remembers a session's write, which its later reads must see. */
  noteWrite(request: ExperimentRequest): void {
    this.lastWriteMs.set(getSessionKey(request), this.loop.nowMs);
  }

  /** Loses the primary; the next one serves after the gap. */
  losePrimary(gapMs: number): void {
    const lost = this.getPrimary();
    this.primary = undefined;
    if (lost !== undefined) {
      lost.isUp = false;
      this.held.push(...lost.fail());
    }
    this.loop.after(gapMs, () => this.promote());
  }

  /** Takes the instances of a failure domain out; a primary among them moves as planned. */
  leaveDomain(domain: number, gapMs: number): void {
    const primary = this.getPrimary();
    const left = this.instances.filter((instance) => instance.domain === domain && instance.isUp);
    for (const instance of left) {
      instance.isUp = false;
    }
    if (primary?.domain === domain) {
      this.primary = undefined;
      this.loop.after(gapMs, () => this.promote());
    }
    for (const instance of left) {
      this.routeAll(instance.drain());
    }
  }

  /** Brings the instances of a failure domain back as replicas. */
  returnDomain(domain: number): void {
    for (const instance of this.instances) {
      instance.isUp ||= instance.domain === domain;
    }
  }

  /** Loses the holder: what runs is unknown, what waits goes to the next holder. */
  loseHolder(next: number, gapMs: number): void {
    this.holder = undefined;
    for (const instance of this.instances) {
      this.held.push(...instance.fail());
    }
    this.loop.after(gapMs, () => this.take(next));
  }

  /** Moves the holder as planned: what waits goes on elsewhere in its order. */
  moveHolder(next: number, gapMs: number): void {
    this.holder = undefined;
    for (const instance of this.instances) {
      this.held.push(...instance.drain());
    }
    this.loop.after(gapMs, () => this.take(next));
  }

  private take(next: number): void {
    this.holder = next;
    this.release();
  }

  private promote(): void {
    const next = this.instances.findIndex((instance) => instance.isUp);
    this.primary = next === -1 ? undefined : next;
    this.release();
  }

  private release(): void {
    const held = this.held;
    this.held = [];
    this.routeAll(held);
  }

  private routeAll(requests: readonly ExperimentRequest[]): void {
    for (const request of requests) {
      this.route(request);
    }
  }

  private getPrimary(): FakeInstance | undefined {
    return this.primary === undefined ? undefined : this.instances[this.primary];
  }

  /** The less loaded of two replicas that have reached the session's position. */
  private pickReplica(request: ExperimentRequest): FakeInstance | undefined {
    const writtenMs = this.lastWriteMs.get(getSessionKey(request));
    if (writtenMs !== undefined && this.loop.nowMs - writtenMs < this.lagMs) {
      return undefined;
    }
    const replicas = this.instances.filter(
      (instance, index) => instance.isUp && index !== this.primary,
    );
    const pick = () => replicas[Math.floor(this.random.next() * replicas.length)];
    const [first, second] = [pick(), pick()];
    return first !== undefined && second !== undefined && second.load < first.load ? second : first;
  }
}

function getSessionKey(request: ExperimentRequest): string {
  return `${request.account.name}/${request.session}`;
}
