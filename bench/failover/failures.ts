import type { ProcessFleet } from '../processes/processFleet.js';

/** Who does what in the fleet at the moment. */
export interface FleetRoles {
  readonly leader: string;
  readonly holder: string;
  readonly primary: string;
}

/** One kind of failure: how it is brought about and mended. */
export interface Failure {
  readonly name: string;
  begin(fleet: ProcessFleet, roles: FleetRoles): Promise<void> | void;
  end(fleet: ProcessFleet, roles: FleetRoles): Promise<void> | void;
}

async function setFault(fleet: ProcessFleet, instance: string, fault: object): Promise<void> {
  await fleet.http.post(fleet.getHttp(instance), '/faults', fault);
}

function kill(pick: (roles: FleetRoles) => readonly string[]): Pick<Failure, 'begin' | 'end'> {
  return {
    begin: (fleet, roles) => pick(roles).forEach((name) => fleet.signal(name, 'SIGKILL')),
    end: (fleet, roles) => pick(roles).forEach((name) => fleet.run(name, [])),
  };
}

function pause(pick: (roles: FleetRoles) => readonly string[]): Pick<Failure, 'begin' | 'end'> {
  return {
    begin: (fleet, roles) => pick(roles).forEach((name) => fleet.signal(name, 'SIGSTOP')),
    end: (fleet, roles) => pick(roles).forEach((name) => fleet.signal(name, 'SIGCONT')),
  };
}

/** The failures that are measured. */
export const FAILURES: readonly Failure[] = [
  { name: 'kill-primary', ...kill(({ primary }) => [primary]) },
  { name: 'stop-primary', ...pause(({ primary }) => [primary]) },
  {
    name: 'cut-primary',
    begin: (fleet, { primary }) => setFault(fleet, primary, { cutOff: true }),
    end: (fleet, { primary }) => setFault(fleet, primary, { cutOff: false }),
  },
  {
    name: 'silence-primary',
    begin: async (fleet, { primary }) => {
      await fleet.http.post(fleet.getHttp(primary), '/silence', {});
    },
    end: () => undefined,
  },
  { name: 'kill-holder', ...kill(({ holder }) => [holder]) },
  { name: 'stop-holder', ...pause(({ holder }) => [holder]) },
  { name: 'kill-leader', ...kill(({ leader }) => [leader]) },
  { name: 'stop-leader', ...pause(({ leader }) => [leader]) },
  { name: 'kill-holder-and-primary', ...kill(({ holder, primary }) => [holder, primary]) },
  { name: 'kill-leader-and-primary', ...kill(({ leader, primary }) => [leader, primary]) },
  { name: 'kill-leader-and-holder', ...kill(({ leader, holder }) => [leader, holder]) },
];
