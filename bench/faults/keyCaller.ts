import { DATABASES } from '../lines/lineConfiguration.js';
import { OWNER } from './backendWatch.js';
import type { CallerLedger } from './callerLedger.js';
import { CallerSession } from './callerSession.js';
import type { FaultFleet } from './faultFleet.js';
import type { HarmLog } from './harmLog.js';
import { TURNING_KEY, type SentVersion } from './soakOperator.js';

/** A change is in force everywhere within this time after its acknowledgement. */
const APPLY_MS = 3000;
const PAUSE_MS = 120;
const ITEM = 'turn';
const KEY_UNKNOWN = 'NOAUTH';

interface KeyUse {
  readonly name: string;
  readonly node: string;
  readonly sentMs: number;
  readonly endMs: number;
  readonly wasServed: boolean;
}

/** A caller with a key that comes and goes: each use must agree with a configuration that could be in force. */
export class KeyCaller {
  private readonly uses: KeyUse[] = [];
  private session: CallerSession | undefined;
  private sessions = 0;
  private stopped = false;

  constructor(
    private readonly fleet: FaultFleet,
    private readonly ledger: CallerLedger,
    private readonly harms: HarmLog,
  ) {}

  async run(): Promise<void> {
    while (!this.stopped) {
      await this.use();
      await this.fleet.sleep(PAUSE_MS);
    }
    this.session?.close();
  }

  stop(): void {
    this.stopped = true;
  }

  /** Uses of the key that no configuration allows which could be in force at the time. */
  judge(sent: readonly SentVersion[]): readonly string[] {
    return this.uses.flatMap((use) => {
      const floor = sent
        .filter(({ acknowledgedMs = Infinity }) => acknowledgedMs <= use.sentMs - APPLY_MS)
        .reduce((highest, { version }) => Math.max(highest, version), 0);
      const possible = sent.filter(
        ({ version, sentMs }) => version === floor || (version > floor && sentMs <= use.endMs),
      );
      const isAllowed = possible.some(({ hasTurningKey }) => hasTurningKey === use.wasServed);
      const isTimed = use.wasServed || this.harms.isCalm(use.sentMs, use.endMs);
      const what = use.wasServed ? 'served' : 'refused';
      return isAllowed || !isTimed || floor === 0
        ? []
        : [`${use.name} on ${use.node}: ${what}, against configuration ${floor} and all since`];
    });
  }

  private async use(): Promise<void> {
    const { entries, timer, group } = this.fleet;
    this.sessions += 1;
    const entry = entries[this.sessions % entries.length];
    const target = {
      ...{ node: entry?.node ?? '', address: entry?.frontend ?? '', key: TURNING_KEY },
      ...{ account: 'mill', item: ITEM, name: `${ITEM}-${this.sessions}` },
      database: `${DATABASES.latest}-${group.options.service}`,
    };
    const sentMs = timer.now();
    const session = await CallerSession.open(target, this.ledger, timer);
    await session.ask(`SET ${OWNER} ${ITEM}`);
    const reply = await session.ask(`FETCH ${ITEM}`);
    const error = reply?.error ?? session.lastError;
    const wasServed = reply !== undefined && error === undefined;
    session.close();
    if (wasServed || error === KEY_UNKNOWN) {
      this.uses.push({ ...target, sentMs, endMs: timer.now(), wasServed });
    }
  }
}
