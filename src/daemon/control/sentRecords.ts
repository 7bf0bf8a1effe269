import { toRevision, type Revision } from '../../common/ids/index.js';
import type { LeaseGrant } from '../../decisions/control/index.js';

const NOTHING_SENT = toRevision(0);

/**
 * Tracks the revision that each daemon will have once its link has delivered all messages sent. A
 * link delivers in order or not at all, so that no record has to be sent over it twice. Otherwise
 * each renewal that was sent before a large change arrived would cause the change to be sent again.
 */
export class SentRecords {
  private readonly sentRevisions = new WeakMap<object, Revision>();

  /** Omits from a grant the records that its link delivers before it. */
  omitSentRecords(link: object, grant: LeaseGrant, applied: Revision): LeaseGrant {
    const sent = this.sentRevisions.get(link) ?? NOTHING_SENT;
    this.sentRevisions.set(link, sent > grant.revision ? sent : grant.revision);
    return sent <= applied
      ? grant
      : { ...grant, since: sent, records: grant.records.filter(({ revision }) => revision > sent) };
  }

  /** Records an update as sent; ignores an update that the daemon will not apply. */
  recordUpdate(link: object, since: Revision, revision: Revision): void {
    const sent = this.sentRevisions.get(link);
    if (sent !== undefined && since <= sent && revision > sent) {
      this.sentRevisions.set(link, revision);
    }
  }
}
