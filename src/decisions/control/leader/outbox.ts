import type { Diagnostic, DiagnosticArguments } from '../../../common/diagnostics/index.js';
import type { PlacementEvent } from '../../../common/metrics/placementEvent.js';
import type { Command } from '../command.js';
import { ControlOutputKind, type ControlOutput } from './controlOutput.js';

/** Collects the outputs of one input, and allows one pending proposal for each record. */
export class Outbox {
  private outputs: ControlOutput[] = [];
  private readonly proposedAtMs = new Map<string, number>();

  constructor(private readonly proposalTimeoutMs: number) {}

  add(output: ControlOutput): void {
    this.outputs.push(output);
  }

  /** Adds a log event. */
  log(diagnostic: Diagnostic, values: DiagnosticArguments): void {
    this.add({ kind: ControlOutputKind.Log, diagnostic, values });
  }

  /** Counts an event of the placement by load. */
  countPlacement(event: PlacementEvent, count = 1): void {
    this.add({ kind: ControlOutputKind.CountPlacement, event, count });
  }

  /** Proposes a command unless a proposal for the same record is pending; false if one is. */
  propose(key: string, command: Command, nowMs: number): boolean {
    if (this.isPending(key, nowMs)) {
      return false;
    }
    this.proposedAtMs.set(key, nowMs);
    this.add({ kind: ControlOutputKind.Propose, command });
    return true;
  }

  /** Whether a proposal for a record is pending: it has no outcome and has not timed out. */
  isPending(key: string, nowMs: number): boolean {
    const atMs = this.proposedAtMs.get(key);
    return atMs !== undefined && nowMs - atMs < this.proposalTimeoutMs;
  }

  /** Ends the pending proposal for a record once its outcome is known. */
  settle(key: string): void {
    this.proposedAtMs.delete(key);
  }

  /** Returns the collected outputs and removes them. */
  take(): ControlOutput[] {
    const taken = this.outputs;
    this.outputs = [];
    return taken;
  }

  /** Discards all pending proposals; the collected outputs stay. */
  clear(): void {
    this.proposedAtMs.clear();
  }
}
