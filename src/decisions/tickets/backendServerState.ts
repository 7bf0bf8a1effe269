import type { GroupId, InstanceId } from '../../common/ids/index.js';
import type { SubjectKind } from './subjectKind.js';

/** State of a backend server: whether it is leaving and accepts no new work. */
export interface BackendServerState {
  readonly kind: SubjectKind.BackendServer;
  readonly group: GroupId;
  readonly instance: InstanceId;
  readonly leaving: boolean;
}
