import { toRevision, type Revision } from '../../common/ids/index.js';
import type { LeaseGrant } from '../../decisions/control/index.js';

const NOTHING_SENT = toRevision(0);

/**
 * What each daemon has, or will have once its link has delivered what was sent. A link delivers in order or
 * not at all, so that nothing has to be sent over it twice. Answers the load of renewals that were sent before a
 * large change arrived.
 */
export class SentRecords {
  private readonly sentRevisions = new WeakMap<object, Revision>();

  /** Leaves out of a grant what its link delivers before it. */
  omitSentRecords(link: object, grant: LeaseGrant, applied: Revision): LeaseGrant {
    const sent = this.sentRevisions.get(link) ?? NOTHING_SENT;
    this.sentRevisions.set(link, sent > grant.revision ? sent : grant.revision);
    return sent <= applied
      ? grant
      : { ...grant, since: sent, records: grant.records.filter(({ revision }) => revision > sent) };
  }

  /** Notes an update that is sent; one that the daemon will not apply brings it no further. */
  recordUpdate(link: object, since: Revision, revision: Revision): void {
    const sent = this.sentRevisions.get(link);
    if (sent !== undefined && since <= sent && revision > sent) {
      this.sentRevisions.set(link, revision);
    }
  }
}
