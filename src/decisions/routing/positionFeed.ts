import type { LogPosition, Term } from '../../common/ids/index.js';
import type { SessionPosition } from '../sessions/index.js';
import { PositionClock } from './positionHistory.js';

/** Time between two questions to a holder while reads come, in milliseconds. */
export const POSITION_QUERY_INTERVAL_MS = 200;

/** Answers to older questions are not waited for. */
const MAXIMUM_PENDING_QUERIES = 16;

/** A question that is not answered yet. */
interface PositionQuery {
  readonly sequence: number;
  readonly sentMs: number;
}

/**
 * What a reader knows of its group's acknowledged writes, from asking the holder. An answer counts for the
 * time at which its question was sent: every write acknowledged before then is in it, however late it comes.
 */
export class PositionFeed {
  private readonly positions = new PositionClock();
  private queries: PositionQuery[] = [];
  private sequence = 0;
  private timeline: Term | undefined;
  private lastSentMs: number | undefined;
  private answeredQueryMs: number | undefined;
  private suspensions = 0;

  /** Takes on the timeline that the group serves; what is known of another one is void. */
  setTimeline(timeline: Term | undefined): void {
    if (timeline !== this.timeline) {
      this.timeline = timeline;
      this.forget();
    }
  }

  /** Takes on how often this process may have stood still: what was known before is older than it seems. */
  setSuspensions(suspensions: number): void {
    if (suspensions !== this.suspensions) {
      this.suspensions = suspensions;
      this.forget();
    }
  }

  /** Forgets all that was answered, and takes no answer to what was asked, as after a change of primary. */
  forget(): void {
    this.positions.reset();
    this.queries = [];
    this.answeredQueryMs = undefined;
    this.lastSentMs = undefined;
  }

  /** A read needs a position: the number of the question to send now; undefined while one was sent lately. */
  ask(nowMs: number): number | undefined {
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

  /** Takes an answer; false when it says nothing: to no open question, older than another, or of another timeline. */
  answered(sequence: number, acknowledged: SessionPosition): boolean {
    const question = this.queries.find((each) => each.sequence === sequence);
    if (question === undefined || acknowledged.term !== this.timeline) {
      return false;
    }
    this.queries = this.queries.filter((each) => each.sequence > sequence);
    this.positions.record(acknowledged.position, question.sentMs);
    this.answeredQueryMs = question.sentMs;
    return true;
  }

  /** A position that holds every write acknowledged before a time; undefined when none that is young enough is known. */
  getPositionAt(timeMs: number): LogPosition | undefined {
    const { answeredQueryMs: freshMs } = this;
    return freshMs === undefined || freshMs < timeMs
      ? undefined
      : this.positions.getPositionAt(timeMs);
  }

  /** Time since the question was sent that was answered last, in milliseconds; undefined without one. */
  getAgeMs(nowMs: number): number | undefined {
    return this.answeredQueryMs === undefined ? undefined : nowMs - this.answeredQueryMs;
  }
}
