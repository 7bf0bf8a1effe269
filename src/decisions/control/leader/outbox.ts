import type { Diagnostic, DiagnosticArguments } from '../../../common/diagnostics/index.js';
import type { Command } from '../command.js';
import { ControlOutputKind, type ControlOutput } from './controlOutput.js';

/** Gathers the outputs of one input, and keeps a proposal from being made twice at a time. */
export class Outbox {
  private outputs: ControlOutput[] = [];
  private readonly proposedAtMs = new Map<string, number>();

  constructor(private readonly proposalTimeoutMs: number) {}

  /** Adds an output. */
  add(output: ControlOutput): void {
    this.outputs.push(output);
  }

  /** Adds a log event. */
  log(diagnostic: Diagnostic, values: DiagnosticArguments): void {
    this.add({ kind: ControlOutputKind.Log, diagnostic, values });
  }

  /** Proposes a command unless one about the same record is under way; false when it is. */
  propose(key: string, command: Command, nowMs: number): boolean {
    if (this.isPending(key, nowMs)) {
      return false;
    }
    this.proposedAtMs.set(key, nowMs);
    this.add({ kind: ControlOutputKind.Propose, command });
    return true;
  }

  /** Whether a proposal about a record is under way. */
  isPending(key: string, nowMs: number): boolean {
    const atMs = this.proposedAtMs.get(key);
    return atMs !== undefined && nowMs - atMs < this.proposalTimeoutMs;
  }

  /** Notes that the proposal about a record has its outcome. */
  settle(key: string): void {
    this.proposedAtMs.delete(key);
  }

  /** Takes the outputs gathered. */
  take(): ControlOutput[] {
    const taken = this.outputs;
    this.outputs = [];
    return taken;
  }

  /** Forgets the proposals under way. */
  clear(): void {
    this.proposedAtMs.clear();
  }
}
