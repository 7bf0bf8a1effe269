import type { Statement } from '../../decisions/routing/index.js';

/** Kind of a step of an extended-protocol batch. */
export enum BatchItemKind {
  Parse = 'parse',
  Bind = 'bind',
  DescribeStatement = 'describe-statement',
  DescribePortal = 'describe-portal',
  Execute = 'execute',
  Close = 'close',
}

/** One step of a batch, with the statement that it refers to if that is known. */
export interface BatchItem {
  readonly kind: BatchItemKind;
  readonly statement: Statement | undefined;
}
