import type { FailureDomain } from '../../common/ids/index.js';
import type { SubjectKind } from './subjectKind.js';

/** State of a failure domain: whether it accepts new work. */
export interface FailureDomainState {
  readonly kind: SubjectKind.FailureDomain;
  readonly domain: FailureDomain;
  readonly inService: boolean;
}
