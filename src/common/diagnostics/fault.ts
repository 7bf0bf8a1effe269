import type { Diagnostic } from './diagnostic.js';
import type { DiagnosticArguments } from './diagnosticArguments.js';
import { Execution } from './execution.js';

/** Where a fault arose and whether the statement behind it was run. */
export interface FaultContext {
  /** The step of the work, such as `mesh.connect` or `ticket.submit`. */
  readonly step: string;
  /** The other side: a host, an instance, a file or a caller's address. */
  readonly peer?: string;
  readonly execution?: Execution;
  readonly retryAfterMs?: number;
}

/** An error or refusal of this program: a diagnostic with its arguments, step and peer. */
export class Fault extends Error {
  readonly step: string;
  readonly peer: string | undefined;
  readonly execution: Execution;
  readonly retryAfterMs: number | undefined;

  constructor(
    readonly diagnostic: Diagnostic,
    readonly values: DiagnosticArguments,
    context: FaultContext,
  ) {
    super(formatDiagnostic(diagnostic, values));
    this.name = 'Fault';
    this.step = context.step;
    this.peer = context.peer;
    this.execution = context.execution ?? Execution.NotRun;
    this.retryAfterMs = context.retryAfterMs;
  }
}

/** Fills the places of a diagnostic's text. */
export function formatDiagnostic(diagnostic: Diagnostic, values: DiagnosticArguments): string {
  return diagnostic.text.replace(/\{(\w+)\}/g, (place, name: string) => {
    const value = values[name];
    return value === undefined ? place : String(value);
  });
}

/** Creates a fault. */
export function createFault(
  diagnostic: Diagnostic,
  values: DiagnosticArguments,
  context: FaultContext,
): Fault {
  return new Fault(diagnostic, values, context);
}
