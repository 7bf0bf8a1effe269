import type { RequestId } from '../../../src/common/ids/index.js';
import type {
  LeadershipChangedOutput,
  LogEntry,
  ProposalAppendedOutput,
} from '../../../src/decisions/consensus/index.js';
import type { SimulatedHost } from './simulatedHost.js';

/** Is told what the members of a simulation do; must give inputs only through later events. */
export abstract class SimulationListener {
  /** A process starts; nothing is applied yet. */
  abstract started(host: SimulatedHost): void;

  /** A committed entry is applied. */
  abstract applied(host: SimulatedHost, entry: LogEntry<string>): void;

  /** The state up to an index is taken over from a snapshot. */
  abstract restored(host: SimulatedHost, index: number): void;

  abstract leadershipChanged(host: SimulatedHost, output: LeadershipChangedOutput): void;

  abstract proposalAppended(host: SimulatedHost, output: ProposalAppendedOutput): void;

  abstract readReady(host: SimulatedHost, request: RequestId): void;
}
