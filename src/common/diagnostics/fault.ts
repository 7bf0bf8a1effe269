import type { Diagnostic } from './diagnostic.js';
import type { DiagnosticArguments } from './diagnosticArguments.js';
import { Execution } from './execution.js';

/** Context of a fault: where it arose and whether its statement was run. */
export interface FaultContext {
  /** The step of the work, such as `mesh.connect` or `ticket.submit`. */
  readonly step: string;
  /** The counterpart of the step: a host, an instance, a file or a caller's address. */
  readonly peer?: string;
  readonly execution?: Execution;
  readonly retryAfterMs?: number;
}

/** Error or refusal: a diagnostic with its arguments, step, peer and execution status. */
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

/** Formats a diagnostic's text; placeholders without a value are kept. */
export function formatDiagnostic(diagnostic: Diagnostic, values: DiagnosticArguments): string {
  return diagnostic.text.replace(/\{(\w+)\}/g, (placeholder, name: string) => {
    const value = values[name];
    return value === undefined ? placeholder : String(value);
  });
}

/** Creates a fault; its execution status is `NotRun` unless the context states another. */
export function createFault(
  diagnostic: Diagnostic,
  values: DiagnosticArguments,
  context: FaultContext,
): Fault {
  return new Fault(diagnostic, values, context);
}
