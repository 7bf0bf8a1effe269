import {
  createFault,
  type Diagnostic,
  type DiagnosticArguments,
  type Fault,
} from '../../src/common/diagnostics/index.js';

export { Diagnostics } from '../../src/common/diagnostics/index.js';

/** Creates the fault of a statement that the stand-in refuses or fails. */
export function sqlFault(diagnostic: Diagnostic, values: DiagnosticArguments = {}): Fault {
  return createFault(diagnostic, values, { step: 'standin.execute' });
}
