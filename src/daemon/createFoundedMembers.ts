import { toFailureDomain, toHostId, toTicketNumber } from '../common/ids/index.js';
import type { Settings } from '../common/settings/index.js';
import type { SubjectStatus } from '../decisions/control/index.js';
import { SubjectKind } from '../decisions/tickets/index.js';

/**
 * Creates the initial status of the control members from the settings; it is in force until the
 * first ticket changes them.
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
