import {
  createFault,
  Diagnostics,
  Execution,
  type Diagnostic,
  type DiagnosticArguments,
  type Fault,
} from '../../common/diagnostics/index.js';

/** The serialized form of a fault that daemons send to each other. */
export interface RequestFault {
  readonly code: number;
  readonly values: DiagnosticArguments;
  readonly step: string;
  readonly peer?: string;
  readonly execution: Execution;
  readonly retryAfterMs?: number;
}

const BY_CODE: ReadonlyMap<number, Diagnostic> = new Map(
  Object.values(Diagnostics).map((diagnostic) => [diagnostic.code, diagnostic]),
);

/** Converts a fault to its serialized form. */
export function toRequestFault(fault: Fault): RequestFault {
  return {
    code: fault.diagnostic.code,
    values: fault.values,
    step: fault.step,
    execution: fault.execution,
    ...(fault.peer === undefined ? {} : { peer: fault.peer }),
    ...(fault.retryAfterMs === undefined ? {} : { retryAfterMs: fault.retryAfterMs }),
  };
}

/** Converts a received fault back; an unknown diagnostic code becomes OutcomeUnknown. */
export function toFault(fault: RequestFault): Fault {
  const { code, values, ...context } = fault;
  return createFault(BY_CODE.get(code) ?? Diagnostics.OutcomeUnknown, values, context);
}
