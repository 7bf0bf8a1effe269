import { callControl } from '../../standin/lines/index.js';
import type { PlannedLineDaemon } from '../lines/linePlan.js';
import type { CallerLedger } from './callerLedger.js';
import type { FaultFleet } from './faultFleet.js';

const OK = 200;
const NOT_FOUND = 404;

/** Takes failure domains out of service and back, and checks that the last acknowledged order stays in force. */
export class DomainOperator {
  /** State that each domain's last order sets, if that order was acknowledged. */
  private readonly acknowledged = new Map<string, boolean>();

  constructor(
    private readonly fleet: FaultFleet,
    private readonly ledger: CallerLedger,
  ) {}

  /** Sends an order to control hosts in turn; false when none acknowledged it. */
  async order(
    domain: string,
    inService: boolean,
    controls: readonly PlannedLineDaemon[] = this.fleet.controls,
  ): Promise<boolean> {
    this.acknowledged.delete(domain);
    const path = `/filbertpoint/Drain.${inService ? 'Finish' : 'Begin'}/${domain}`;
    for (const { control = '' } of controls) {
      const { status } = await callControl(control, 'POST', path);
      if (status === OK) {
        this.acknowledged.set(domain, inService);
        return true;
      }
    }
    return false;
  }

  /** Compares what is in force with the acknowledged orders; false when no control host could tell. */
  async check(): Promise<boolean> {
    for (const [domain, expected] of this.acknowledged) {
      const isInService = await this.read(domain);
      if (isInService === undefined) {
        return false;
      }
      if (isInService !== expected) {
        const [found, last] = [isInService, expected].map((each) => (each ? 'in' : 'out of'));
        this.ledger.fail(`${domain} is ${found} service, the last order was: ${last} service`);
        this.acknowledged.delete(domain);
      }
    }
    return true;
  }

  /** Whether a domain is in service; undefined when no control host could tell. */
  private async read(domain: string): Promise<boolean | undefined> {
    for (const { ip, operatorPort } of this.fleet.controls) {
      const path = `/in-force/failure-domain/${domain}`;
      const { status, body } = await callControl(`${ip}:${operatorPort}`, 'GET', path);
      if (status === NOT_FOUND) {
        return true;
      }
      if (status === OK) {
        const { state } = JSON.parse(body) as { state: { inService: boolean } };
        return state.inService;
      }
    }
    return undefined;
  }
}
