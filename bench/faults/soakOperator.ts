import type { RandomSource } from '../../src/common/random.js';
import { callControl } from '../../standin/lines/index.js';
import { createLineConfiguration } from '../lines/lineConfiguration.js';
import type { CallerLedger } from './callerLedger.js';
import type { FaultFleet } from './faultFleet.js';

/** The key of account mill that some configurations have and others don't. */
export const TURNING_KEY = 'key-mill-2';
/** Rate and burst of account drip, in requests (a second). */
export const DRIP_RATE = 20;

const RATE = 2000;
const PAUSE_MS = 700;
const INVALID_SHARE = 0.1;
const RACE_SHARE = 0.2;
const RESEND_SHARE = 0.2;
const OK = 200;
const FIRST_REFUSAL = 400;
const FIRST_FAILURE = 500;

/** A configuration that was sent. */
export interface SentVersion {
  readonly version: number;
  readonly body: string;
  readonly hasTurningKey: boolean;
  readonly sentMs: number;
  /** When it was acknowledged first. */
  acknowledgedMs: number | undefined;
}

/** An operator: whole configurations that race, are sent again or are invalid, and reads of what is in force. */
export class SoakOperator {
  readonly sent: SentVersion[] = [];
  private version = 1;
  private stopped = false;

  constructor(
    private readonly fleet: FaultFleet,
    private readonly ledger: CallerLedger,
    private readonly random: RandomSource,
  ) {}

  get highestAcknowledged(): number {
    return this.sent.reduce(
      (highest, { version, acknowledgedMs }) =>
        acknowledgedMs === undefined ? highest : Math.max(highest, version),
      0,
    );
  }

  /** Changes and reads until it is stopped. */
  async run(): Promise<void> {
    while (!this.stopped) {
      const turn = this.random.next();
      if (turn < INVALID_SHARE) {
        await this.sendInvalid();
      } else if (turn < INVALID_SHARE + RACE_SHARE) {
        await Promise.all([this.configure(), this.configure()]);
      } else {
        await this.configure();
      }
      if (this.random.next() < RESEND_SHARE) {
        await this.send(this.pick(this.sent));
      }
      await this.read();
      await this.fleet.sleep(PAUSE_MS * 2 * this.random.next());
    }
  }

  stop(): void {
    this.stopped = true;
  }

  /** Sends the next configuration; false when it was not acknowledged. */
  async configure(): Promise<boolean> {
    this.version += 1 + Math.floor(this.random.next() * 3);
    const hasTurningKey = this.random.next() < 0.5;
    const body = this.create(this.version, ['key-press'], hasTurningKey);
    const sentMs = this.fleet.timer.now();
    const next = { version: this.version, body, hasTurningKey, sentMs, acknowledgedMs: undefined };
    this.sent.push(next);
    return this.send(next);
  }

  /** Reads what is in force; false when no control host could say. */
  async read(): Promise<boolean> {
    const least = this.highestAcknowledged;
    const control = this.pick(this.fleet.controls).control ?? '';
    const reply = await callControl(control, 'GET', '/filbertpoint/Config.Fetch');
    if (reply.status !== OK) {
      return false;
    }
    const { version } = JSON.parse(reply.body) as { version: number };
    if (version < least) {
      this.ledger.fail(`configuration ${version} read from ${control}, ${least} was acknowledged`);
    }
    if (this.sent.find((each) => each.version === version)?.body !== reply.body) {
      this.ledger.fail(`configuration ${version} read from ${control} was never sent so`);
    }
    return true;
  }

  private async send(change: SentVersion): Promise<boolean> {
    const { body, version } = change;
    const controls = this.fleet.controls.length;
    const first = Math.floor(this.random.next() * controls);
    for (let index = 0; index < controls; index += 1) {
      const { control = '' } = this.fleet.controls[(first + index) % controls] ?? {};
      const { status } = await callControl(control, 'POST', '/filbertpoint/Config.Replace', body);
      if (status === OK) {
        change.acknowledgedMs ??= this.fleet.timer.now();
        return true;
      }
      if (status >= FIRST_REFUSAL && status < FIRST_FAILURE) {
        this.ledger.fail(`configuration ${version} was refused by ${control} with ${status}`);
      }
    }
    return false;
  }

  /** Two accounts may not share a key: this must never be in force. */
  private async sendInvalid(): Promise<void> {
    const version = this.version + 1;
    this.version += 1;
    const body = this.create(version, ['key-mill'], false);
    const control = this.pick(this.fleet.controls).control ?? '';
    const { status } = await callControl(control, 'POST', '/filbertpoint/Config.Replace', body);
    if (status === OK && this.highestAcknowledged < version) {
      this.ledger.fail(`invalid configuration ${version} was acknowledged by ${control}`);
    }
  }

  private create(version: number, press: readonly string[], hasTurningKey: boolean): string {
    const mill = hasTurningKey ? ['key-mill', TURNING_KEY] : ['key-mill'];
    const accounts = { mill, press, drip: ['key-drip'] };
    const options = { version, accounts, rate: RATE, burst: RATE, rates: { drip: DRIP_RATE } };
    return createLineConfiguration(this.fleet.plan, options);
  }

  private pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.random.next() * items.length)] as Item;
  }
}
