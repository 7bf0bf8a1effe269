import type { Execution, Fault } from '../../common/diagnostics/index.js';

/** The JSON body of each answer that is not a success. */
export interface FaultBody {
  /** Number in the diagnostic table. */
  readonly code: number;
  readonly message: string;
  readonly step: string;
  readonly peer?: string;
  /** Whether the request was run. */
  readonly detail: Execution;
}

/** Creates the body that tells a client of a fault. */
export function createFaultBody(fault: Fault): FaultBody {
  const { diagnostic, message, step, peer, execution } = fault;
  const body = { code: diagnostic.code, message, step, detail: execution };
  return peer === undefined ? body : { ...body, peer };
}
