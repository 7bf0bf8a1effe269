import type { GroupId, InstanceId } from '../../common/ids/index.js';
import type { SubjectKind } from './subjectKind.js';

/** Whether a backend server is leaving and takes no new work. */
export interface BackendServerState {
  readonly kind: SubjectKind.BackendServer;
  readonly group: GroupId;
  readonly instance: InstanceId;
  readonly leaving: boolean;
}
