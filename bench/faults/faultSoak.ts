import { join } from 'node:path';
import type { RandomSource } from '../../src/common/random.js';
import { SystemTimerService } from '../../src/common/timer/index.js';
import { createLinePlan } from '../lines/linePlan.js';
import { BackendWatch } from './backendWatch.js';
import { CallerCrowd } from './callerCrowd.js';
import { CallerLedger } from './callerLedger.js';
import { DomainOperator } from './domainOperator.js';
import { FaultFleet } from './faultFleet.js';
import { FaultPlayer } from './faultPlayer.js';
import { drawSchedule } from './faultSchedule.js';
import { HarmLog } from './harmLog.js';
import { KeyCaller } from './keyCaller.js';
import { drawRushes } from './rushSchedule.js';
import { findRequestsInDomains, findWrongWrites, type DomainAbsence } from './soakChecks.js';
import { SoakClient, WriteFate, type CallerPlan, type SoakDatabase } from './soakClient.js';
import { DRIP_RATE, SoakOperator } from './soakOperator.js';
import { createSoakRandom } from './soakRandom.js';
import { StarvationWatch } from './starvationWatch.js';

const KINDS: readonly SoakDatabase[] = ['latest', 'session', 'bounded', 'latest', 'session'];
const ACCOUNTS = ['mill', 'press'] as const;
const BUSY_PAUSE_MS = 25;
const IDLE_PAUSE_MS = 900;
/** Operations that a caller has to get beyond, after the faults, for service to be back. */
const RECOVERY_SERVED = 3;
/** Of a caller that is mostly idle, which pauses for seconds between its operations. */
const IDLE_RECOVERY_SERVED = 1;
const DRIP_PAUSE_MS = 12;
const DRIP_CALLERS = 2;
/** What instances may see of drip beyond its bound: one request of each caller that was held up. */
const DRIP_SLACK = DRIP_CALLERS;
/** Crowds draw from numbers far from those of other parts. */
const CROWD_PART = 500;
const START_LIMIT_MS = 20_000;
/** Everything has to be served again within this time once all faults are over. */
const RECOVERY_LIMIT_MS = 12_000;
const QUIET_MS = 1500;
/** Nothing is sent to a failure domain any more this long after its withdrawal was acknowledged. */
const DOMAIN_LIMIT_MS = 5000;
/** Where the built programs are when this is one of them. */
const BUILD = new URL('../..', import.meta.url).pathname;

/** What is run. */
export interface SoakOptions {
  readonly seed: number;
  readonly faultsMs: number;
  /** Keeps runs beside one another apart. */
  readonly network: number;
  readonly controls?: number;
  readonly entries?: number;
  /** Callers that stay with each entry host and at times all ask at once; none when left out. */
  readonly crowd?: number;
  /** The daemon's program; the built one when left out. */
  readonly program?: string;
  /** Folder of the built programs. */
  readonly build?: string;
}

/** What one seed came to. */
export interface FaultSoakResult {
  readonly seed: number;
  readonly faults: readonly string[];
  readonly violations: readonly string[];
  readonly served: number;
  readonly acknowledged: number;
  readonly promotions: number;
  readonly configurations: number;
  readonly outcomes: string;
  /** How long processes of the run waited for a processor. */
  readonly starvation: string;
  /** Where settings and logs are, when something was violated. */
  readonly folder: string | undefined;
}

/** One run: real daemons under faults drawn from a seed, promises checked on both sides. */
export class FaultSoak {
  private readonly timer = new SystemTimerService();
  private readonly harms = new HarmLog(this.timer);
  private readonly ledger = new CallerLedger(this.harms, this.timer);
  private readonly watch = new BackendWatch(this.ledger, this.timer);
  private readonly clients: SoakClient[] = [];
  private readonly crowds = new Map<string, CallerCrowd>();
  private readonly absences: DomainAbsence[] = [];
  private readonly fleet: FaultFleet;
  private readonly operator: SoakOperator;
  private readonly domains: DomainOperator;
  private readonly keyCaller: KeyCaller;
  private readonly player: FaultPlayer;
  private readonly starvation: StarvationWatch;
  private generators = 0;

  private constructor(
    private readonly options: SoakOptions,
    plan: FaultFleet['plan'],
  ) {
    const { timer, harms, ledger, watch } = this;
    const { build = BUILD, program = join(build, 'platform/start.js') } = options;
    const programs = { program, harm: join(build, 'bench/faults/harmedHost.js') };
    this.fleet = new FaultFleet(plan, programs, timer, harms, ledger, watch);
    this.operator = new SoakOperator(this.fleet, ledger, this.createRandom());
    this.domains = new DomainOperator(this.fleet, ledger);
    this.keyCaller = new KeyCaller(this.fleet, ledger, harms);
    this.starvation = new StarvationWatch(timer, harms, () => [
      process.pid,
      ...this.fleet.processIds,
    ]);
    this.player = new FaultPlayer(this.fleet, harms, (domain, lengthMs) =>
      this.takeOut(domain, lengthMs),
    );
  }

  /** Runs a seed for a time under faults. */
  static async run(options: SoakOptions): Promise<FaultSoakResult> {
    const { controls = 3, entries = 3, network } = options;
    const size = { controls, entries, groups: 1, network, isProxied: true };
    const soak = new FaultSoak(options, await createLinePlan(size));
    let keeps = true;
    try {
      await soak.play();
      keeps = soak.ledger.violations.length > 0;
    } finally {
      soak.starvation.stop();
      soak.ledger.stop();
      await soak.fleet.stop(keeps);
    }
    return soak.createResult(keeps);
  }

  private async play(): Promise<void> {
    const { fleet, clients, operator, keyCaller } = this;
    const schedule = drawSchedule(
      this.createRandom(),
      this.options.faultsMs,
      fleet.plan.daemons.length,
    );
    await fleet.start();
    this.starvation.start();
    await this.waitFor('the first configuration', START_LIMIT_MS, () => operator.configure());
    this.addClients();
    this.addCrowds();
    const crowds = [...this.crowds.values()];
    const parts = [...clients, ...crowds, operator, keyCaller];
    const runs = parts.map((part) => part.run());
    await this.waitFor('the first answers', START_LIMIT_MS, () =>
      clients.every(({ served }) => served > 0),
    );
    await Promise.all([this.player.play(schedule), this.playRushes()]);
    fleet.proxies.forEach((proxy) => proxy.heal());
    const before = clients.map(({ served }) => served);
    await this.waitFor('service after the faults', RECOVERY_LIMIT_MS, () =>
      clients.every(({ served, plan }, index) => {
        const more = plan.pauseMs === IDLE_PAUSE_MS ? IDLE_RECOVERY_SERVED : RECOVERY_SERVED;
        return served > (before[index] ?? 0) + more;
      }),
    );
    await fleet.sleep(QUIET_MS);
    parts.forEach((part) => part.stop());
    await Promise.all(runs);
    await this.check();
  }

  /** Busy callers, one mostly idle caller for each entry host, and callers above the rate of their account. */
  private addClients(): void {
    const { entries } = this.fleet;
    const plans: CallerPlan[] = KINDS.map((database, index) => {
      const account = ACCOUNTS[index % ACCOUNTS.length] ?? 'mill';
      const key = `key-${account}`;
      return { item: `item${index}`, database, key, account, pauseMs: BUSY_PAUSE_MS };
    });
    entries.forEach((_, index) => {
      const shared = { key: 'key-press', account: 'press', pauseMs: IDLE_PAUSE_MS };
      plans.push({ item: `idle${index}`, database: 'session', ...shared });
    });
    for (let index = 0; index < DRIP_CALLERS; index += 1) {
      const shared = { key: 'key-drip', account: 'drip', pauseMs: DRIP_PAUSE_MS, isPlain: true };
      plans.push({ item: `drip${index}`, database: 'latest', ...shared });
    }
    for (const plan of plans) {
      this.clients.push(new SoakClient(plan, this.fleet, this.ledger, this.createRandom()));
    }
  }

  private addCrowds(): void {
    const { fleet, ledger, options } = this;
    const { crowd = 0, seed } = options;
    fleet.entries.forEach((entry, index) => {
      const random = createSoakRandom(seed, CROWD_PART + 1 + index);
      this.crowds.set(entry.node, new CallerCrowd(entry, crowd, fleet, ledger, random));
    });
  }

  private async playRushes(): Promise<void> {
    const { crowd = 0, seed, faultsMs } = this.options;
    if (crowd > 0) {
      const rushes = drawRushes(createSoakRandom(seed, CROWD_PART), faultsMs);
      await this.player.playRushes(rushes, (node, lengthMs) =>
        this.crowds.get(node)?.rush(lengthMs),
      );
    }
  }

  /** Each part draws from its own numbers, so that the times of others change nothing. */
  private createRandom(): RandomSource {
    this.generators += 1;
    return createSoakRandom(this.options.seed, this.generators);
  }

  private async takeOut(domain: string, lengthMs: number): Promise<void> {
    const isOut = await this.domains.order(domain, false);
    const fromMs = this.timer.now() + DOMAIN_LIMIT_MS;
    await this.fleet.sleep(lengthMs);
    if (isOut) {
      this.absences.push({ domain, fromMs, toMs: this.timer.now() });
    }
    await this.waitFor(`the return of ${domain}`, START_LIMIT_MS, () =>
      this.domains.order(domain, true),
    );
  }

  private async waitFor(
    what: string,
    limitMs: number,
    isTrue: () => boolean | Promise<boolean>,
  ): Promise<void> {
    const endMs = this.timer.now() + limitMs;
    while (!(await isTrue())) {
      if (this.timer.now() > endMs) {
        this.ledger.fail(`${what} did not come within ${limitMs} ms`);
        return;
      }
      await this.fleet.sleep(50);
    }
  }

  private async check(): Promise<void> {
    const { ledger, watch, harms, fleet, clients, operator, keyCaller } = this;
    await this.waitFor('a read of the configuration', START_LIMIT_MS, () => operator.read());
    await this.waitFor('a read of the domains', START_LIMIT_MS, () => this.domains.check());
    ledger.violations.push(
      ...findWrongWrites(fleet.group, clients),
      ...findRequestsInDomains(this.absences, watch, ledger, (fromMs, toMs) =>
        harms.isCalm(fromMs, toMs),
      ),
      ...ledger.judgeCuts((id) => watch.seen.has(id)),
      ...watch.judgeRate('drip', DRIP_RATE, DRIP_RATE, DRIP_SLACK),
      ...keyCaller.judge(operator.sent),
    );
  }

  private createResult(keeps: boolean): FaultSoakResult {
    const writes = this.clients.flatMap((client) => client.writes);
    const { slowed, looks, worstMs } = this.starvation;
    const outcomes = [...this.ledger.outcomes].sort(([a], [b]) => a.localeCompare(b));
    return {
      seed: this.options.seed,
      faults: this.player.played,
      violations: this.ledger.violations,
      served: this.clients.reduce((sum, { served }) => sum + served, 0),
      acknowledged: writes.filter(({ fate }) => fate === WriteFate.Acknowledged).length,
      promotions: (this.fleet.group.primary?.term ?? 1) - 1,
      configurations: this.operator.sent.length,
      outcomes: outcomes.map(([code, count]) => `${code} ${count}`).join(', '),
      starvation: `${slowed} of ${looks} looks, worst ${worstMs.toFixed(0)} ms`,
      folder: keeps ? this.fleet.folder : undefined,
    };
  }
}
