import { join } from 'node:path';
import { afterEach, beforeEach, expect, test } from 'vitest';
import { SystemTimerService } from '../../src/common/timer/index.js';
import { callControl } from '../../standin/lines/index.js';
import { createLineConfiguration } from '../lines/lineConfiguration.js';
import { createLinePlan } from '../lines/linePlan.js';
import { BackendWatch } from './backendWatch.js';
import { CallerLedger } from './callerLedger.js';
import { DomainOperator } from './domainOperator.js';
import { FaultFleet } from './faultFleet.js';
import { HarmLog } from './harmLog.js';
import { LinkFault } from './linkProxy.js';

const BUILD = new URL('../../dist', import.meta.url).pathname;
const NETWORK = 72;
const DOMAIN = 'north-b';
const LIMIT_MS = 20_000;
/** The host stays held up for this long after the newest order was acknowledged. */
const HELD_MS = 1000;
/** Time for orders that were held up to reach the log. */
const SETTLE_MS = 1000;

type Control = FaultFleet['controls'][number];

/** What holds an order up at a control host, while other hosts carry out newer ones. */
const HINDRANCES: readonly {
  readonly name: string;
  readonly begin: (fleet: FaultFleet, host: Control) => void;
  readonly end: (fleet: FaultFleet, host: Control) => void;
}[] = [
  {
    name: 'frozen',
    begin: (fleet, { node }) => fleet.signal(node, 'SIGSTOP'),
    end: (fleet, { node }) => fleet.signal(node, 'SIGCONT'),
  },
  {
    name: 'cut off from all other hosts',
    begin: (fleet, host) => fleet.setLinkFault(host, LinkFault.Cut),
    end: (fleet, host) => fleet.setLinkFault(host, undefined),
  },
];

let ledger: CallerLedger;
let fleet: FaultFleet;
let operator: DomainOperator;

beforeEach(async () => {
  const timer = new SystemTimerService();
  const harms = new HarmLog(timer);
  ledger = new CallerLedger(harms, timer);
  const size = { controls: 3, entries: 1, groups: 1, network: NETWORK, isProxied: true };
  const plan = await createLinePlan(size);
  const programs = {
    program: join(BUILD, 'platform/start.js'),
    harm: join(BUILD, 'bench/faults/harmedHost.js'),
  };
  const watch = new BackendWatch(ledger, timer);
  fleet = new FaultFleet(plan, programs, timer, harms, ledger, watch);
  operator = new DomainOperator(fleet, ledger);
  await fleet.start();
  const body = createLineConfiguration(plan, { version: 1, accounts: { mill: ['key-mill'] } });
  const path = '/filbertpoint/Config.Replace';
  const [first] = fleet.controls;
  await waitFor(async () => {
    const { status } = await callControl(first?.control ?? '', 'POST', path, body);
    return status === 200;
  });
});
afterEach(() => {
  ledger.stop();
  return fleet.stop(ledger.violations.length > 0);
});

async function waitFor(isTrue: () => Promise<boolean>): Promise<void> {
  const endMs = fleet.timer.now() + LIMIT_MS;
  while (!(await isTrue())) {
    expect(fleet.timer.now()).toBeLessThan(endMs);
    await fleet.sleep(50);
  }
}

async function canRead({ control = '' }: Control): Promise<boolean> {
  const { status } = await callControl(control, 'GET', '/filbertpoint/Config.Fetch');
  return status === 200;
}

// Guards against a control host that carries out an order that a newer one has overtaken (EVAC).
test.each(HINDRANCES)('a control host that was $name does not undo newer orders', async (each) => {
  for (const [index, held] of fleet.controls.entries()) {
    const oldState = index % 2 === 0;
    const others = fleet.controls.filter((host) => host !== held);
    const order = (inService: boolean, hosts = others) =>
      waitFor(() => operator.order(DOMAIN, inService, hosts));
    await order(!oldState);
    each.begin(fleet, held);
    await order(oldState, [held, ...others]);
    await order(!oldState);
    await fleet.sleep(HELD_MS);
    each.end(fleet, held);
    await waitFor(() => canRead(held));
    await fleet.sleep(SETTLE_MS);
    await waitFor(() => operator.check());
  }
  expect(ledger.violations).toEqual([]);
});
