import type { Execution, Fault } from '../../common/diagnostics/index.js';

/** The JSON body of an error answer. */
export interface FaultBody {
  /** Number of the diagnostic. */
  readonly code: number;
  readonly message: string;
  readonly step: string;
  readonly peer?: string;
  /** Whether the request was run. */
  readonly detail: Execution;
}

/** Creates the body that reports a fault to an HTTP client. */
export function createFaultBody(fault: Fault): FaultBody {
  const { diagnostic, message, step, peer, execution } = fault;
  const body = { code: diagnostic.code, message, step, detail: execution };
  return peer === undefined ? body : { ...body, peer };
}
