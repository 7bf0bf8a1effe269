import type { Statement } from '../../decisions/routing/index.js';

/** The kinds of steps of an extended-protocol batch. */
export enum BatchItemKind {
  Parse = 'parse',
  Bind = 'bind',
  DescribeStatement = 'describe-statement',
  DescribePortal = 'describe-portal',
  Execute = 'execute',
  Close = 'close',
}

/** One step of a batch and the statement that it is about, where known. */
export interface BatchItem {
  readonly kind: BatchItemKind;
  readonly statement: Statement | undefined;
}
