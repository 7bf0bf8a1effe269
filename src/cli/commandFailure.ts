import type { Diagnostic, DiagnosticArguments, Fault } from '../common/diagnostics/index.js';
import { createFault } from '../common/diagnostics/index.js';
import type { FaultBody } from '../daemon/operators/faultBody.js';
import { createFaultBody } from '../daemon/operators/faultBody.js';
import type { ExitStatus } from './exitStatus.js';

/** Why a command did not do its work, and the exit status that says so. */
export interface CommandFailure {
  readonly status: ExitStatus;
  readonly body: FaultBody;
  /** Lines with the particulars, printed before the failure itself. */
  readonly lines?: readonly string[];
  /** The particulars, printed with `--json`. */
  readonly json?: Readonly<Record<string, unknown>>;
}

/** Creates a failure that arose in this program. */
export function createFailure(
  status: ExitStatus,
  diagnostic: Diagnostic,
  values: DiagnosticArguments,
  step: string,
): CommandFailure {
  return createFaultFailure(status, createFault(diagnostic, values, { step }));
}

/** Creates a failure from a fault. */
export function createFaultFailure(status: ExitStatus, fault: Fault): CommandFailure {
  return { status, body: createFaultBody(fault) };
}

/** Formats a failure for standard error: its particulars, then one line. */
export function formatFailure(failure: CommandFailure): string {
  const { code, message, step, peer, detail } = failure.body;
  const place = peer === undefined ? `step ${step}` : `step ${step}, peer ${peer}`;
  const lines = failure.lines ?? [];
  return [...lines, `FP${code}: ${message} (${place}; ${detail})`].join('\n');
}
