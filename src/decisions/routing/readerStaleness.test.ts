import * as fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  toGroupId,
  toInstanceId,
  toLogPosition,
  toRevision,
  toTerm,
} from '../../common/ids/index.js';
import {
  getServedTimeline,
  PrimaryPhase,
  type GroupPrimary,
  type TermEnd,
} from '../control/groupPrimary.js';
import { RecordKind } from '../control/recordKind.js';
import type { SessionPosition } from '../sessions/index.js';
import { PositionFeed } from './positionFeed.js';
import { getReaderMinimumPosition } from './readerMinimumPosition.js';

const SEED = 20261205;
const RUNS = 1500;

enum StepKind {
  Acknowledge,
  Query,
  Deliver,
  Pause,
  Promote,
  MoveHolder,
  ReceiveRecords,
  Read,
}

interface Step {
  readonly kind: StepKind;
  readonly afterMs: number;
  readonly pick: number;
}

interface Acknowledged extends SessionPosition {
  readonly atMs: number;
  /** Whether a promotion has rolled it back. */
  isLost: boolean;
}

interface PendingQuery {
  readonly sequence: number;
  answer: SessionPosition | undefined;
}

/** Constructor of the position feed under test: the production one or a faulty variant. */
type FeedSource = new () => PositionFeed;

/** Faulty variant that dates an answer by its receipt instead of its query. */
class ReceiptDatedFeed extends PositionFeed {
  nowMs = 0;
  private receivedMs: number | undefined;
  private received: SessionPosition | undefined;

  override recordAnswer(sequence: number, acknowledged: SessionPosition): boolean {
    const isAccepted = super.recordAnswer(sequence, acknowledged);
    if (isAccepted) {
      this.received = acknowledged;
      this.receivedMs = this.nowMs;
    }
    return isAccepted;
  }

  override getPositionAt(timeMs: number): SessionPosition['position'] | undefined {
    return (this.receivedMs ?? -1) >= timeMs ? this.received?.position : undefined;
  }
}

/** Faulty variant that accepts the last answer regardless of its age. */
class AgeIgnoringFeed extends PositionFeed {
  private received: SessionPosition | undefined;

  override recordAnswer(sequence: number, acknowledged: SessionPosition): boolean {
    const isAccepted = super.recordAnswer(sequence, acknowledged);
    this.received = isAccepted ? acknowledged : this.received;
    return isAccepted;
  }

  override getPositionAt(): SessionPosition['position'] | undefined {
    return this.received?.position;
  }
}

/** A group with its holder and a reader that receives all information with a delay. */
class Model {
  readonly feed: PositionFeed;
  refused = 0;
  served = 0;
  private nowMs = 0;
  private term = 1;
  private length = 0;
  private history: TermEnd[] = [];
  private readonly acknowledged: Acknowledged[] = [];
  private queries: PendingQuery[] = [];
  private known: GroupPrimary;

  constructor(private readonly createFeed: FeedSource) {
    this.feed = new this.createFeed();
    this.known = this.createPrimary();
    this.receiveRecords();
  }

  run({ kind, afterMs, pick }: Step): void {
    this.nowMs += afterMs;
    switch (kind) {
      case StepKind.Acknowledge:
        this.length += 1;
        this.acknowledged.push({ ...this.position, atMs: this.nowMs, isLost: false });
        break;
      case StepKind.Query: {
        const sequence = this.feed.startQuery(this.nowMs);
        if (sequence !== undefined) {
          // The holder answers at any later time, or never.
          this.queries.push({ sequence, answer: undefined });
        }
        break;
      }
      case StepKind.Deliver:
        this.deliver(pick);
        break;
      case StepKind.Pause:
        this.nowMs += afterMs * 20;
        break;
      case StepKind.Promote:
        this.promote(pick);
        break;
      case StepKind.MoveHolder:
        // The previous holder answers no pending query, but answers in flight still arrive.
        this.queries = this.queries.filter(({ answer }) => answer !== undefined);
        break;
      case StepKind.ReceiveRecords:
        this.receiveRecords();
        break;
      case StepKind.Read:
        this.read(pick);
    }
  }

  /** Lets the holder answer a query, or delivers an answer that it gave earlier. */
  private deliver(pick: number): void {
    const query = this.queries[pick % Math.max(1, this.queries.length)];
    if (query === undefined) {
      return;
    }
    if (query.answer === undefined) {
      query.answer = this.position;
      return;
    }
    if (this.feed instanceof ReceiptDatedFeed) {
      this.feed.nowMs = this.nowMs;
    }
    this.feed.recordAnswer(query.sequence, query.answer);
    this.queries = this.queries.filter((each) => each !== query);
  }

  private promote(pick: number): void {
    const start = this.history.at(-1)?.position ?? 0;
    const dropped = Math.min(this.length - start, pick % 3);
    this.length -= dropped;
    for (const commit of this.acknowledged) {
      commit.isLost ||= commit.term === this.term && commit.position > this.length;
    }
    this.history = [
      ...this.history,
      { term: toTerm(this.term), position: toLogPosition(this.length) },
    ];
    this.term += 1;
  }

  private receiveRecords(): void {
    const isOther = this.known.term !== this.term;
    this.known = this.createPrimary();
    this.feed.setTimeline(getServedTimeline(this.known));
    if (isOther) {
      this.feed.reset();
    }
  }

  private read(pick: number): void {
    const maximumStalenessMs = 200 + (pick % 5) * 300;
    const kept = this.acknowledged.filter(({ isLost }) => !isLost);
    const own = pick % 2 === 0 ? undefined : kept[pick % Math.max(1, kept.length)];
    const session = own && { term: own.term, position: own.position };
    const requirement = { session, maximumStalenessMs };
    const found = getReaderMinimumPosition(requirement, this.known, this.feed, this.nowMs);
    if (found.refusal !== undefined) {
      this.refused += 1;
      return;
    }
    this.served += 1;
    const needed = kept.filter(({ atMs }) => atMs < this.nowMs - maximumStalenessMs);
    for (const commit of own === undefined ? needed : [...needed, own]) {
      // Positions continue across terms, and a log with a position of a term includes the term's
      // start.
      expect(found.minimum.position).toBeGreaterThanOrEqual(commit.position);
      expect(found.minimum.term).toBeGreaterThanOrEqual(commit.term);
    }
  }

  private get position(): SessionPosition {
    return { term: toTerm(this.term), position: toLogPosition(this.length) };
  }

  private createPrimary(): GroupPrimary {
    return {
      ...{ kind: RecordKind.Primary, group: toGroupId('g'), instance: toInstanceId('i') },
      ...{ phase: PrimaryPhase.Serving, since: toRevision(1), term: toTerm(this.term) },
      history: this.history,
    };
  }
}

const steps = fc.array(
  fc.record({
    kind: fc.constantFrom(
      ...[
        StepKind.Acknowledge,
        StepKind.Acknowledge,
        StepKind.Query,
        StepKind.Query,
        StepKind.Deliver,
      ],
      ...[StepKind.Deliver, StepKind.Deliver, StepKind.Deliver, StepKind.Pause, StepKind.Promote],
      ...[
        StepKind.MoveHolder,
        StepKind.ReceiveRecords,
        StepKind.Read,
        StepKind.Read,
        StepKind.Read,
      ],
    ),
    afterMs: fc.nat(80),
    pick: fc.nat(1000),
  }),
  { minLength: 60, maxLength: 200 },
);

function createProperty(createFeed: FeedSource, counts = { served: 0, refused: 0 }) {
  return fc.property(steps, (each) => {
    const model = new Model(createFeed);
    each.forEach((step) => model.run(step));
    counts.served += model.served;
    counts.refused += model.refused;
  });
}

test('a read by a reader requires every write older than its staleness bound, and those of its session', () => {
  const counts = { served: 0, refused: 0 };
  fc.assert(createProperty(PositionFeed, counts), { seed: SEED, numRuns: RUNS });
  expect(counts.served).toBeGreaterThan(RUNS);
  expect(counts.refused).toBeGreaterThan(RUNS);
});

test.each([
  ['dates an answer by its receipt', ReceiptDatedFeed],
  ['accepts an answer of any age', AgeIgnoringFeed],
])('the property test detects a reader that %s', (_name, createFeed) => {
  const result = fc.check(createProperty(createFeed), { seed: SEED, numRuns: RUNS });
  expect(result.failed).toBe(true);
});
