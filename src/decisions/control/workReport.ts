import type { AccountId, GroupId, InstanceId } from '../../common/ids/index.js';

/** Work of a group's holder, in estimated microseconds of processor time per second. */
export type GroupWork = readonly [GroupId, number];

/** Work of a replica's reader, in the same unit. */
export type ReaderWork = readonly [GroupId, InstanceId, number];

/** Work of an account's holder, in the same unit. */
export type AccountWork = readonly [AccountId, number];

/**
 * Work that a host did for the resources that it holds, averaged over 30 s. A resource that it has
 * held for a shorter time is left out.
 */
export interface WorkReport {
  /** Share of the host's processor time in use, from 0 to 1; absent until it is averaged. */
  readonly processorShare?: number;
  /** Number of cores that the host may use; absent when unknown. */
  readonly cores?: number;
  readonly groups: readonly GroupWork[];
  readonly readers: readonly ReaderWork[];
  readonly accounts: readonly AccountWork[];
}
