import type {
  ControlLeader,
  ControlState,
  LeaseRenewal,
} from '../../../src/decisions/control/index.js';
import type { Ticket } from '../../../src/decisions/tickets/index.js';
import type { FakeDaemon } from './fakeDaemon.js';

/** The control quorum of a fake fleet. */
export abstract class FleetControl {
  /** The control state after every command committed so far. */
  abstract readonly truth: ControlState;

  abstract get leader(): ControlLeader | undefined;

  /** Isolates the leader for a time. */
  abstract isolateLeader(gapMs: number): void;

  /** Submits a ticket, and submits it again until it is answered. */
  abstract submit(ticket: Ticket): void;

  /** Sends a daemon's renewal to a control host that may lead. */
  abstract sendRenewal(daemon: FakeDaemon, renewal: LeaseRenewal): void;

  /** Goes on to the fleet's time. */
  abstract step(): void;
}
