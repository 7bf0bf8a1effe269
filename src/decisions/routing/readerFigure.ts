import type { LeaseId } from '../../common/ids/index.js';
import type { RandomSource } from '../../common/random.js';
import { DecayingMean } from './decayingMean.js';

const TIME_CONSTANT_MS = 1000;
/** Weight, in answers, of a usual time: entry hosts of a large fleet see about one answer a second. */
const PRIOR_WEIGHT = 0.5;
/** Time without an answer after which the average is forgotten. */
const FORGET_MS = 3000;
const FIRST_EXCLUSION_MS = 1000;
const MAXIMUM_EXCLUSION_MS = 8000;
/** Part by which the length of an exclusion varies, so that hosts do not return at the same time. */
const JITTER = 0.25;
/** Time after an exclusion in which the next one is longer. */
const RELAPSE_MS = 10_000;
/** Consecutive trials with usual times that end an exclusion. */
const GOOD_TRIALS = 3;

/** What an entry host has measured of the reader of one instance, and its exclusion. */
export class ReaderFigure {
  private readonly mean = new DecayingMean(TIME_CONSTANT_MS, PRIOR_WEIGHT);
  private excludedUntilMs = Number.NEGATIVE_INFINITY;
  private exclusionMs = 0;
  private goodTrials = 0;
  /** Whether the reader has been excluded and has not answered since. */
  private isUnproven = false;

  constructor(
    private readonly lease: LeaseId,
    private readonly startedMs: number | undefined,
  ) {}

  /** Whether the figure is that of the reader's lease and of the start of its instance. */
  matches(lease: LeaseId, startedMs: number | undefined): boolean {
    return this.lease === lease && this.startedMs === startedMs;
  }

  /** Average time in multiples of the usual one; undefined without an answer in the last seconds. */
  getAverage(nowMs: number): number | undefined {
    return this.isForgotten(nowMs) ? undefined : this.mean.value;
  }

  /** Whether nothing has been measured for so long that the average is not used. */
  isForgotten(nowMs: number): boolean {
    return nowMs - this.mean.updatedMs > FORGET_MS;
  }

  /** Whether the reader is excluded for being slow. */
  isExcluded(nowMs: number): boolean {
    return nowMs < this.excludedUntilMs;
  }

  /** Whether the reader gets no request now besides trials: after an exclusion, one at a time. */
  isAvoided(inFlight: number, nowMs: number): boolean {
    return this.isExcluded(nowMs) || (this.isUnproven && inFlight > 0);
  }

  /** Adds a time in multiples of the usual one; `isGood`: it does not speak for an exclusion. */
  record(ratio: number, isGood: boolean, nowMs: number): void {
    this.mean.add(ratio, nowMs);
    if (!this.isExcluded(nowMs)) {
      this.isUnproven = false;
      return;
    }
    this.goodTrials = isGood ? this.goodTrials + 1 : 0;
    if (this.goodTrials >= GOOD_TRIALS) {
      this.excludedUntilMs = nowMs;
      this.isUnproven = false;
    }
  }

  /** Begins an exclusion; returns its length in milliseconds, twice the last one after a relapse. */
  exclude(nowMs: number, random: RandomSource): number {
    const isRelapse = nowMs - this.excludedUntilMs < RELAPSE_MS;
    this.exclusionMs = isRelapse
      ? Math.min(MAXIMUM_EXCLUSION_MS, 2 * this.exclusionMs)
      : FIRST_EXCLUSION_MS;
    const lengthMs = this.exclusionMs * (1 + JITTER * (2 * random.next() - 1));
    this.excludedUntilMs = nowMs + lengthMs;
    this.goodTrials = 0;
    this.isUnproven = true;
    return lengthMs;
  }
}
