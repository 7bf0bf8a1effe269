import type { FailureDomain, InstanceId } from '../../common/ids/index.js';
import type { RandomSource } from '../../common/random.js';
import { ReadResult } from './readResult.js';
import { ReaderFigure } from './readerFigure.js';
import {
  ReaderSelector,
  type ReaderCandidate,
  type ReaderExclusion,
  type ReaderSpread,
} from './readerSelector.js';
import { UsualTimes } from './usualTimes.js';

/** Average relative to the median of the other readers from which a reader is excluded. */
const SLOW_FACTOR = 3;
/** Time relative to that median below which a trial of an excluded reader is good. */
const GOOD_FACTOR = 1.5;
/** Share of the requests that go to an excluded reader as trials, one at a time. */
const TRIAL_SHARE = 0.02;
/** Part of the readers that may be excluded at once for being slow. */
const EXCLUDED_SHARE = 0.5;

/**
 * Selects the reader that is expected to answer first: of two random readers, the one with the
 * smaller product of requests in flight and average response time. It addresses readers of instances
 * that are slow, fail part of their requests or have long queues, which the number of this host's own
 * requests does not show where many hosts have few each. A choice allocates no lists.
 */
export class TimedReaderSelector extends ReaderSelector {
  private trials = 0;
  private readonly usual = new UsualTimes();
  private readonly figures = new Map<InstanceId, ReaderFigure>();
  /** Readers that are considered, in the first places; reused for each choice. */
  private readonly usable: ReaderCandidate[] = [];
  /** Averages of readers in ascending order, in the first places; reused for each answer. */
  private readonly averages: number[] = [];
  private readerCount = 0;

  constructor(
    domain: FailureDomain,
    private readonly random: RandomSource,
    spread?: ReaderSpread,
  ) {
    super(domain, spread);
  }

  override choose(
    candidates: readonly ReaderCandidate[],
    nowMs: number,
  ): ReaderCandidate | undefined {
    this.readerCount = candidates.length;
    const answering = this.collect(candidates, nowMs);
    const included = this.moveExcludedToEnd(answering, nowMs);
    if (included > 0 && included < answering && this.random.next() < TRIAL_SHARE) {
      const trial = this.usable[included + this.draw(answering - included)];
      if (trial !== undefined && this.getInFlight(trial.instance) === 0) {
        this.trials += 1;
        return trial;
      }
    }
    return this.pick(this.selectSide(included === 0 ? answering : included), nowMs);
  }

  override recordResult(
    reader: ReaderCandidate,
    costClass: string,
    elapsedMs: number,
    result: ReadResult,
    nowMs: number,
  ): ReaderExclusion | undefined {
    if (result === ReadResult.Unanswered) {
      this.recordFailure(reader.instance, nowMs);
    }
    const isServed = result === ReadResult.Served;
    const ratio = this.usual.measure(costClass, Math.max(0, elapsedMs), isServed, nowMs);
    const figure = this.getResultFigure(reader, nowMs);
    if (figure === undefined || ratio === undefined) {
      return undefined;
    }
    const median = this.getMedianOfOthers(figure, nowMs);
    figure.record(ratio, median !== undefined && ratio < GOOD_FACTOR * median, nowMs);
    return this.judge(reader.instance, figure, median, nowMs);
  }

  override takeTrials(): number {
    const { trials } = this;
    this.trials = 0;
    return trials;
  }

  /** Puts the readers that answer into `usable`, cold ones only without warm ones. */
  private collect(candidates: readonly ReaderCandidate[], nowMs: number): number {
    let count = 0;
    let hasWarm = false;
    for (const candidate of candidates) {
      const isCold = candidate.isCold === true;
      if (this.isSuspected(candidate.instance, nowMs) || (isCold && hasWarm)) {
        continue;
      }
      if (!isCold && !hasWarm) {
        hasWarm = true;
        count = 0;
      }
      this.usable[count] = candidate;
      count += 1;
    }
    return count;
  }

  /** Moves the excluded ones of the first `count` readers behind the others; returns their number. */
  private moveExcludedToEnd(count: number, nowMs: number): number {
    let included = 0;
    for (let index = 0; index < count; index += 1) {
      const candidate = this.usable[index];
      if (candidate !== undefined && !this.isAvoided(candidate, nowMs)) {
        this.swap(index, included);
        included += 1;
      }
    }
    return included;
  }

  /** Moves the readers of the side that gets the read to the front; returns their number. */
  private selectSide(count: number): number {
    const { spread } = this;
    if (spread === undefined) {
      return count;
    }
    let near = 0;
    for (let index = 0; index < count; index += 1) {
      if (this.usable[index]?.domain === this.domain) {
        this.swap(index, near);
        near += 1;
      }
    }
    const { value: share } = spread.share;
    const isRemote = share > 0 && near > 0 && near < count && spread.random.next() < share;
    if (!isRemote) {
      return near === 0 ? count : near;
    }
    for (let index = near; index < count; index += 1) {
      this.swap(index, index - near);
    }
    return count - near;
  }

  /**
   * Selects between two random ones of the first `count` readers. Without a share of the reads for
   * each side, all are compared, so that the readers that are near are among them.
   */
  private pick(count: number, nowMs: number): ReaderCandidate | undefined {
    if (count < 2) {
      return count === 0 ? undefined : this.usable[0];
    }
    const first = this.draw(count);
    const compared = this.spread === undefined ? count : 2;
    const step = compared === count ? 1 : 1 + this.draw(count - 1);
    const usualAverage = this.getUsualAverage(count, nowMs);
    let best: ReaderCandidate | undefined;
    let bestTime = Number.POSITIVE_INFINITY;
    for (let place = 0; place < compared; place += 1) {
      const candidate = this.usable[(first + place * step) % count];
      const time = candidate && this.getExpectedTime(candidate, usualAverage, nowMs);
      if (time !== undefined && time < bestTime) {
        best = candidate;
        bestTime = time;
      }
    }
    return best;
  }

  /** Mean of the averages that are known of the first `count` readers; 1 if none is known. */
  private getUsualAverage(count: number, nowMs: number): number {
    let total = 0;
    let known = 0;
    for (let index = 0; index < count; index += 1) {
      const candidate = this.usable[index];
      const average = candidate && this.getFigure(candidate)?.getAverage(nowMs);
      if (average !== undefined) {
        total += average;
        known += 1;
      }
    }
    return known === 0 ? 1 : total / known;
  }

  /** Expected time until a further request ends, in usual response times. */
  private getExpectedTime(candidate: ReaderCandidate, usualAverage: number, nowMs: number): number {
    const average = this.getFigure(candidate)?.getAverage(nowMs) ?? usualAverage;
    return (this.getInFlight(candidate.instance) + 1) * average + this.getAdjustment(candidate);
  }

  private isAvoided(candidate: ReaderCandidate, nowMs: number): boolean {
    const figure = this.getFigure(candidate);
    return figure?.isAvoided(this.getInFlight(candidate.instance), nowMs) === true;
  }

  /** Returns the figure of a reader; begins anew with another lease or start of its instance. */
  private getFigure({ instance, holder, startedMs }: ReaderCandidate): ReaderFigure | undefined {
    const figure = this.figures.get(instance);
    if (figure === undefined || figure.matches(holder.lease, startedMs)) {
      return figure;
    }
    const renewed = new ReaderFigure(holder.lease, startedMs);
    this.figures.set(instance, renewed);
    return renewed;
  }

  /** Returns the figure for a result; undefined for a former reader, as of an open transaction. */
  private getResultFigure(
    { instance, holder, startedMs }: ReaderCandidate,
    nowMs: number,
  ): ReaderFigure | undefined {
    const figure = this.figures.get(instance);
    if (figure !== undefined) {
      return figure.matches(holder.lease, startedMs) ? figure : undefined;
    }
    this.removeForgotten(nowMs);
    const created = new ReaderFigure(holder.lease, startedMs);
    this.figures.set(instance, created);
    return created;
  }

  /** Excludes a reader that is far slower than the others, unless too many are excluded already. */
  private judge(
    instance: InstanceId,
    figure: ReaderFigure,
    median: number | undefined,
    nowMs: number,
  ): ReaderExclusion | undefined {
    const average = figure.getAverage(nowMs);
    if (average === undefined || median === undefined || average < SLOW_FACTOR * median) {
      return undefined;
    }
    if (figure.isExcluded(nowMs) || !this.mayExclude(nowMs)) {
      return undefined;
    }
    const lengthMs = figure.exclude(nowMs, this.random);
    return { instance, slowness: average / median, lengthMs };
  }

  private mayExclude(nowMs: number): boolean {
    let excluded = 0;
    for (const figure of this.figures.values()) {
      excluded += figure.isExcluded(nowMs) ? 1 : 0;
    }
    return excluded + 1 <= this.readerCount * EXCLUDED_SHARE;
  }

  /** Lower median of the averages of the other readers; undefined if none is known. */
  private getMedianOfOthers(own: ReaderFigure, nowMs: number): number | undefined {
    const { averages } = this;
    let count = 0;
    for (const figure of this.figures.values()) {
      const average = figure === own ? undefined : figure.getAverage(nowMs);
      if (average === undefined) {
        continue;
      }
      let place = count;
      for (; place > 0 && (averages[place - 1] ?? 0) > average; place -= 1) {
        averages[place] = averages[place - 1] ?? 0;
      }
      averages[place] = average;
      count += 1;
    }
    return count === 0 ? undefined : averages[Math.floor((count - 1) / 2)];
  }

  /** Drops the figures of instances that have not answered for long, such as removed ones. */
  private removeForgotten(nowMs: number): void {
    for (const [instance, figure] of this.figures) {
      if (figure.isForgotten(nowMs) && !figure.isExcluded(nowMs)) {
        this.figures.delete(instance);
      }
    }
  }

  private draw(count: number): number {
    return Math.floor(this.random.next() * count);
  }

  private swap(first: number, second: number): void {
    const [left, right] = [this.usable[first], this.usable[second]];
    if (left !== undefined && right !== undefined) {
      this.usable[first] = right;
      this.usable[second] = left;
    }
  }
}
