import type { FailureDomain } from '../../common/ids/index.js';
import type { SubjectKind } from './subjectKind.js';

/** Whether a failure domain takes new work. */
export interface FailureDomainState {
  readonly kind: SubjectKind.FailureDomain;
  readonly domain: FailureDomain;
  readonly inService: boolean;
}
