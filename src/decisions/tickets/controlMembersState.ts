import type { FailureDomain, HostId } from '../../common/ids/index.js';
import type { SubjectKind } from './subjectKind.js';

/** Member of the control quorum. A host that lost its disk joins under a new identity. */
export interface ControlMember {
  /** Identity of the member's stored log; new after a lost disk. */
  readonly member: string;
  readonly host: HostId;
  readonly domain: FailureDomain;
  /** Mesh address `ip:port`. */
  readonly address: string;
}

/** Target members of the control quorum. */
export interface ControlMembersState {
  readonly kind: SubjectKind.ControlMembers;
  readonly members: readonly ControlMember[];
}
