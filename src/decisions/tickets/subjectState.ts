import type { FailureDomain } from '../../common/ids/index.js';
import type { ConfigurationState } from './configurationState.js';
import type { AccountState } from './accountState.js';
import type { BackendServerState } from './backendServerState.js';
import type { ControlMembersState } from './controlMembersState.js';
import type { FailureDomainState } from './failureDomainState.js';
import type { GroupState } from './groupState.js';
import type { RouteState } from './routeState.js';
import { SubjectKind } from './subjectKind.js';

/** Full new state of one subject of a ticket. */
export type SubjectState =
  | AccountState
  | GroupState
  | RouteState
  | FailureDomainState
  | BackendServerState
  | ControlMembersState
  | ConfigurationState;

/** Returns the name of the subject that tells whether a failure domain is in service. */
export function getFailureDomainSubject(domain: FailureDomain): string {
  return `${SubjectKind.FailureDomain}/${domain}`;
}

/**
 * Returns the subject's name, such as `account/mill-7`; at most one state per name is in force at a
 * time.
 */
export function getSubjectName(state: SubjectState): string {
  switch (state.kind) {
    case SubjectKind.Account:
      return `account/${state.account}`;
    case SubjectKind.Group:
      return `group/${state.group}`;
    case SubjectKind.Route:
      return `route/${state.route}`;
    case SubjectKind.FailureDomain:
      return getFailureDomainSubject(state.domain);
    case SubjectKind.BackendServer:
      return `backend-server/${state.group}/${state.instance}`;
    case SubjectKind.ControlMembers:
      return 'control-members';
    case SubjectKind.Configuration:
      return 'configuration';
  }
}
