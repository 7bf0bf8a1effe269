import {
  createEmptyState,
  toMemberId,
  type ConsensusMember,
  type MemberId,
} from '../../../src/decisions/consensus/index.js';
import { SimulatedDisk } from './simulatedDisk.js';

/** One host: its disk, its clock, the member that runs on it and the member's state machine. */
export class SimulatedHost {
  disk: SimulatedDisk;
  member: ConsensusMember<string> | undefined;
  /** Rises with each start, so that events for a former process are ignored. */
  incarnation = 0;
  /** Number of disks that the host has had. */
  diskCount = 1;
  isPaused = false;
  /** What arrives while the process is paused. */
  backlog: (() => void)[] = [];
  isSyncing = false;
  appliedIndex = 0;
  commands: string[] = [];

  constructor(
    readonly number: number,
    private readonly clockRate: number,
    private readonly clockOffsetMs: number,
  ) {
    this.disk = new SimulatedDisk(this.nameIdentity(), createEmptyState());
  }

  get identity(): MemberId {
    return this.disk.identity;
  }

  /** The host's own clock. */
  getClock(nowMs: number): number {
    return this.clockOffsetMs + nowMs * this.clockRate;
  }

  /** How long the host takes for a duration of its own clock. */
  getDuration(localMs: number): number {
    return localMs / this.clockRate;
  }

  /** Puts in an empty disk; the process must be down. */
  loseDisk(keepsIdentity: boolean): void {
    this.diskCount++;
    const identity = keepsIdentity ? this.disk.identity : this.nameIdentity();
    this.disk = new SimulatedDisk(identity, createEmptyState());
  }

  private nameIdentity(): MemberId {
    return toMemberId(`host${this.number}.disk${this.diskCount}`);
  }
}
