import {
  EntryKind,
  InputKind,
  OutputKind,
  Role,
  type CommitOutput,
  type ConsensusInput,
  type ConsensusOutput,
  type LeadershipChangedOutput,
  type MemberId,
  type SendOutput,
  type Snapshot,
} from '../../../src/decisions/consensus/index.js';
import type { SeededRandom } from '../seededRandom.js';
import type { EventQueue } from './eventQueue.js';
import type { InvariantChecker } from './invariantChecker.js';
import type { SimulatedHost } from './simulatedHost.js';
import type { SimulationListener } from './simulationListener.js';
import type { SimulatedNetwork } from './simulatedNetwork.js';

const SYNC_MS = 2;
const SLOW_SYNC_MS = 80;
const SLOW_SYNC_PROBABILITY = 0.02;

/** The parts of a simulation that carrying out outputs needs. */
export interface ShellSurroundings {
  readonly random: SeededRandom;
  readonly events: EventQueue;
  readonly network: SimulatedNetwork;
  readonly checker: InvariantChecker;
  input(host: SimulatedHost, input: ConsensusInput<string>): void;
}

/** Carries out what the members ask for, as a daemon would. */
export class SimulatedShell {
  constructor(
    private readonly simulation: ShellSurroundings,
    private readonly addresses: ReadonlyMap<MemberId, SimulatedHost>,
    private readonly listener: SimulationListener | undefined,
  ) {}

  /** Carries out all outputs of one call. */
  carryOut(host: SimulatedHost, outputs: readonly ConsensusOutput<string>[]): void {
    for (const output of outputs) {
      this.carryOutOne(host, output);
    }
  }

  private carryOutOne(host: SimulatedHost, output: ConsensusOutput<string>): void {
    const { checker } = this.simulation;
    switch (output.kind) {
      case OutputKind.Send:
        this.send(host, output);
        break;
      case OutputKind.Persist:
        host.disk.write(output);
        this.sync(host);
        break;
      case OutputKind.Commit:
        this.apply(host, output);
        break;
      case OutputKind.RestoreSnapshot:
        this.restore(host, output.snapshot);
        break;
      case OutputKind.SnapshotDue:
        this.scheduleCompact(host);
        break;
      case OutputKind.ProposalAppended:
        checker.noteProposal(host, output.request, output.index, output.term);
        this.listener?.proposalAppended(host, output);
        break;
      case OutputKind.ReadReady:
        checker.noteReadReady(host, output.request, output.index);
        this.listener?.readReady(host, output.request);
        break;
      case OutputKind.LeadershipChanged:
        this.noteLeadership(host, output);
        break;
      case OutputKind.SnapshotRefused:
      case OutputKind.ProposalRefused:
      case OutputKind.ReadFailed:
        break;
    }
  }

  private apply(host: SimulatedHost, output: CommitOutput<string>): void {
    for (const entry of output.entries) {
      this.simulation.checker.noteCommit(host, entry);
      host.appliedIndex = entry.index;
      if (entry.kind === EntryKind.Command) {
        host.commands.push(entry.command);
      }
      this.listener?.applied(host, entry);
    }
  }

  private noteLeadership(host: SimulatedHost, output: LeadershipChangedOutput): void {
    if (output.role === Role.Leader) {
      this.simulation.checker.noteLeader(output.term, host.identity);
    }
    this.listener?.leadershipChanged(host, output);
  }

  private send(host: SimulatedHost, output: SendOutput<string>): void {
    const target = this.addresses.get(output.to);
    if (target !== undefined) {
      const { message } = output;
      this.simulation.network.send(host.number, target.number, () =>
        this.simulation.input(target, { kind: InputKind.Receive, message }),
      );
    }
  }

  private restore(host: SimulatedHost, snapshot: Snapshot): void {
    host.commands = JSON.parse(new TextDecoder().decode(snapshot.state)) as string[];
    host.appliedIndex = snapshot.index;
    this.simulation.checker.noteRestore(snapshot, host.commands);
    this.listener?.restored(host, snapshot.index);
  }

  private scheduleCompact(host: SimulatedHost): void {
    const { incarnation } = host;
    this.simulation.events.schedule(0, () => {
      if (host.incarnation === incarnation) {
        const state = new TextEncoder().encode(JSON.stringify(host.commands));
        this.simulation.input(host, { kind: InputKind.Compact, index: host.appliedIndex, state });
      }
    });
  }

  private sync(host: SimulatedHost): void {
    const sequence = host.disk.lastSequence;
    if (host.isSyncing || sequence === undefined) {
      return;
    }
    host.isSyncing = true;
    const { incarnation } = host;
    const { random, events } = this.simulation;
    const isSlow = random.chance(SLOW_SYNC_PROBABILITY);
    const delayMs = random.next() * (isSlow ? SLOW_SYNC_MS : SYNC_MS);
    events.schedule(delayMs, () => {
      if (host.incarnation === incarnation) {
        host.isSyncing = false;
        host.disk.sync(sequence);
        this.simulation.input(host, { kind: InputKind.Persisted, sequence });
        this.sync(host);
      }
    });
  }
}
