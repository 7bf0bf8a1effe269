import { createFleetPlan } from '../fleet/fleetPlan.js';
import { ProcessFleet } from '../processes/processFleet.js';
import { getMeanUsage, measureUsage, type Usage } from './usage.js';

const CONTROLS = 3;
const POLL_MS = 5;

/** Use of each role over one time. */
export interface RoleUsage {
  readonly entry: Usage;
  readonly leader: Usage;
  readonly follower: Usage;
}

/** How long a ticket took, in milliseconds from when it was sent. */
export interface TicketTimes {
  readonly acceptedMs: number;
  readonly everywhereMs: number;
}

/** A fleet of processes with three control hosts, and what is asked of its control. */
export class ControlFleet {
  readonly fleet: ProcessFleet;
  readonly entries: readonly string[];
  private readonly controls: readonly string[];
  private ticket = 0;

  constructor(
    readonly size: number,
    private readonly groups: number,
    dist: string,
  ) {
    const plan = createFleetPlan({ controls: CONTROLS, entries: size, groups });
    const getHosts = (role: 'entry' | 'control'): readonly string[] =>
      plan.daemons.filter(({ roles }) => roles.includes(role)).map(({ host }) => host);
    this.entries = getHosts('entry');
    this.controls = getHosts('control');
    this.fleet = new ProcessFleet(plan, dist);
  }

  /** Starts every process and waits until each group is served. */
  async start(): Promise<void> {
    await this.fleet.start();
    await this.fleet.waitFor(async () => {
      const { groups, daemons } = await this.readStatus();
      const served = groups.filter(({ phase }) => phase === 'serving');
      return served.length === this.groups && daemons.length >= this.size + CONTROLS;
    });
  }

  /** Measures each role while something runs. */
  async measure(run: () => Promise<void>): Promise<RoleUsage> {
    const hosts = [...this.entries, ...this.controls];
    const { leader } = await this.readStatus();
    const usages = await measureUsage(this.fleet, hosts, run);
    const getMean = (names: readonly string[]): Usage =>
      getMeanUsage(names.map((name) => usages.get(name)).filter((usage) => usage !== undefined));
    return {
      entry: getMean(this.entries),
      leader: getMean([leader]),
      follower: getMean(this.controls.filter((host) => host !== leader)),
    };
  }

  /** Submits a ticket with these subjects. */
  async submit(subjects: readonly object[]): Promise<void> {
    this.ticket += 1;
    const body = { number: this.ticket, subjects };
    const answer = await this.fleet.http.post(this.getAddress(), '/tickets', body);
    if (answer.status !== 200) {
      throw new Error(`ticket: ${answer.status} ${JSON.stringify(answer.body)}`);
    }
  }

  /** Submits a ticket and waits until control reports it in force on every daemon. */
  async timeTicket(index: number): Promise<TicketTimes> {
    const { timer } = this.fleet;
    const startMs = timer.now();
    await this.submit([createRoute(index)]);
    const acceptedMs = timer.now() - startMs;
    const path = `/in-force/route/route-${index}`;
    for (;;) {
      const { body } = await this.fleet.http.get(this.getAddress(), path);
      if ((body as { readonly everywhere?: boolean }).everywhere === true) {
        return { acceptedMs, everywhereMs: timer.now() - startMs };
      }
      await this.fleet.sleep(POLL_MS);
    }
  }

  /** Kills a daemon and gives the time from its new start until it takes callers. */
  async timeRestart(host: string): Promise<number> {
    this.fleet.signal(host, 'SIGKILL');
    await this.fleet.sleep(2000);
    const startMs = this.fleet.timer.now();
    this.fleet.run(host, []);
    await this.fleet.waitReady(host);
    return this.fleet.timer.now() - startMs;
  }

  stop(): Promise<void> {
    return this.fleet.stop();
  }

  private getAddress(): string {
    return this.fleet.getHttp(this.entries[0] ?? '');
  }

  private async readStatus(): Promise<{
    readonly leader: string;
    readonly daemons: readonly unknown[];
    readonly groups: readonly { readonly phase?: string }[];
  }> {
    const { body } = await this.fleet.http.get(this.getAddress(), '/status');
    return body as Awaited<ReturnType<ControlFleet['readStatus']>>;
  }
}

/** A route's state for a ticket, as small as subjects are. */
export function createRoute(index: number): object {
  return { kind: 'route', route: `route-${index}`, group: `group-${index}` };
}
