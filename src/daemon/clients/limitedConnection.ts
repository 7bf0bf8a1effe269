import type { Fault } from '../../common/diagnostics/index.js';

/** A connection of a client on which the process's limits are kept. */
export interface LimitedConnection {
  /** Reads from the client again, where the connection itself has no other reason not to. */
  updateReading(): void;
  /** Brings the charge up to date before the limits in time are checked. */
  refresh?(): void;
  /** Tells the client the reason, as far as its protocol can, and closes the connection. */
  closeFor(fault: Fault): void;
}
