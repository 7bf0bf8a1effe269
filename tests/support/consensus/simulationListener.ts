import type { RequestId } from '../../../src/common/ids/index.js';
import type {
  LeadershipChangedOutput,
  LogEntry,
  ProposalAppendedOutput,
} from '../../../src/decisions/consensus/index.js';
import type { SimulatedHost } from './simulatedHost.js';

/** Is told what the members of a simulation do; must give inputs only through later events. */
export interface SimulationListener {
  /** A process starts; nothing is applied yet. */
  started(host: SimulatedHost): void;

  /** A committed entry is applied. */
  applied(host: SimulatedHost, entry: LogEntry<string>): void;

  /** The state up to an index is taken over from a snapshot. */
  restored(host: SimulatedHost, index: number): void;

  leadershipChanged(host: SimulatedHost, output: LeadershipChangedOutput): void;

  proposalAppended(host: SimulatedHost, output: ProposalAppendedOutput): void;

  readReady(host: SimulatedHost, request: RequestId): void;
}
