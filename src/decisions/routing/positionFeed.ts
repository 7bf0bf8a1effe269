import type { LogPosition, Term } from '../../common/ids/index.js';
import type { SessionPosition } from '../sessions/index.js';
import { PositionHistory } from './positionHistory.js';

/** Time between two position queries to a holder while reads arrive, in milliseconds. */
export const POSITION_QUERY_INTERVAL_MS = 200;

/** Limit on pending queries; answers to older ones are ignored. */
const MAXIMUM_PENDING_QUERIES = 16;

/** A query that is not answered yet. */
interface PositionQuery {
  readonly sequence: number;
  readonly sentMs: number;
}

/**
 * A reader's knowledge of its group's acknowledged writes, obtained by queries to the holder. An
 * answer is dated by the time at which its query was sent: it includes every write acknowledged
 * before then, however delayed it is.
 */
export class PositionFeed {
  private readonly positions = new PositionHistory();
  private queries: PositionQuery[] = [];
  private sequence = 0;
  private timeline: Term | undefined;
  private lastSentMs: number | undefined;
  private answeredQueryMs: number | undefined;
  private suspensions = 0;

  /** Sets the timeline that the group serves; positions of another one are discarded. */
  setTimeline(timeline: Term | undefined): void {
    if (timeline !== this.timeline) {
      this.timeline = timeline;
      this.reset();
    }
  }

  /**
   * Sets how often this process may have been suspended; after a suspension all positions are
   * discarded, since they are older than they appear.
   */
  setSuspensions(suspensions: number): void {
    if (suspensions !== this.suspensions) {
      this.suspensions = suspensions;
      this.reset();
    }
  }

  /** Discards all answers and pending queries, as after a change of primary. */
  reset(): void {
    this.positions.reset();
    this.queries = [];
    this.answeredQueryMs = undefined;
    this.lastSentMs = undefined;
  }

  /**
   * Returns the sequence number of a position query to send for a read now; undefined if a query
   * was sent recently.
   */
  startQuery(nowMs: number): number | undefined {
    if (this.lastSentMs !== undefined && nowMs - this.lastSentMs < POSITION_QUERY_INTERVAL_MS) {
      return undefined;
    }
    this.lastSentMs = nowMs;
    this.sequence += 1;
    this.queries = [
      ...this.queries.slice(-MAXIMUM_PENDING_QUERIES),
      { sequence: this.sequence, sentMs: nowMs },
    ];
    return this.sequence;
  }

  /**
   * Records an answer. Returns false if it is ignored: its query is not pending, a later query has
   * been answered, or it is of another timeline.
   */
  recordAnswer(sequence: number, acknowledged: SessionPosition): boolean {
    const query = this.queries.find((each) => each.sequence === sequence);
    if (query === undefined || acknowledged.term !== this.timeline) {
      return false;
    }
    this.queries = this.queries.filter((each) => each.sequence > sequence);
    this.positions.record(acknowledged.position, query.sentMs);
    this.answeredQueryMs = query.sentMs;
    return true;
  }

  /**
   * Returns a position that includes every write acknowledged before a time; undefined if no
   * position recent enough is known.
   */
  getPositionAt(timeMs: number): LogPosition | undefined {
    const { answeredQueryMs } = this;
    return answeredQueryMs === undefined || answeredQueryMs < timeMs
      ? undefined
      : this.positions.getPositionAt(timeMs);
  }

  /**
   * Returns the time in milliseconds since the last answered query was sent; undefined if none was.
   */
  getAgeMs(nowMs: number): number | undefined {
    return this.answeredQueryMs === undefined ? undefined : nowMs - this.answeredQueryMs;
  }
}
