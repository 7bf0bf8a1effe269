import { toFailureDomain, toHostId, toTicketNumber } from '../common/ids/index.js';
import type { Settings } from '../common/settings/index.js';
import type { SubjectStatus } from '../decisions/control/index.js';
import { SubjectKind } from '../decisions/tickets/index.js';

/**
 * Creates the status of the control members in the settings, as in force before the first ticket.
 */
export function createFoundedMembers({ control }: Settings): SubjectStatus {
  const members = control.members.map(({ host, domain, address }) => ({
    member: host,
    host: toHostId(host),
    domain: toFailureDomain(domain),
    address,
  }));
  return {
    subject: SubjectKind.ControlMembers,
    ticket: toTicketNumber(0),
    state: { kind: SubjectKind.ControlMembers, members },
    everywhere: true,
    missing: [],
  };
}
