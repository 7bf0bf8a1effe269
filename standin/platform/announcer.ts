import type { TimerService, Unsubscribe } from '../../src/common/timer/index.js';
import type { Announcement } from '../../src/decisions/control/index.js';
import type { HttpClient } from './httpClient.js';

const ANSWER_TIMEOUT_MS = 500;

/** What an announcer works with. */
export interface AnnouncerParts {
  readonly client: HttpClient;
  readonly timer: TimerService;
  readonly intervalMs: number;
  readonly token: string | undefined;
  readonly getTargets: () => readonly string[];
  /** What to announce; absent while there is nothing to announce. */
  readonly tryGetAnnouncement: () => Announcement | undefined;
}

/** Tells one filbertpoint daemon after the other, until one answers, what the instance is. */
export class Announcer {
  private target = 0;
  private isSending = false;
  private endInterval: Unsubscribe | undefined;

  constructor(private readonly parts: AnnouncerParts) {}

  /** Begins to announce at the interval. */
  start(): void {
    const { timer, intervalMs } = this.parts;
    this.endInterval = timer.subscribe(intervalMs, () => void this.announce());
    void this.announce();
  }

  /** Stops announcing. */
  stop(): void {
    this.endInterval?.();
    this.endInterval = undefined;
  }

  /** Announces once; does nothing while another announcement is under way. */
  async announce(): Promise<void> {
    if (this.isSending || this.hasStopped()) {
      return;
    }
    this.isSending = true;
    const targets = this.parts.getTargets();
    const first = this.target % Math.max(1, targets.length);
    for (const address of [...targets.slice(first), ...targets.slice(0, first)]) {
      if (this.hasStopped() || (await this.send(address))) {
        break;
      }
      this.target += 1;
    }
    this.isSending = false;
  }

  private hasStopped(): boolean {
    return this.endInterval === undefined;
  }

  private async send(address: string): Promise<boolean> {
    const body = this.parts.tryGetAnnouncement();
    if (body === undefined) {
      return true;
    }
    const { client, token } = this.parts;
    const path = '/announcements';
    const timeoutMs = ANSWER_TIMEOUT_MS;
    const answer = await client.call({ address, method: 'POST', path, body, token, timeoutMs });
    return answer.isOk();
  }
}
