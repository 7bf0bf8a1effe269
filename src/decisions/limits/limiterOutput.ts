import type { Diagnostic, DiagnosticArguments } from '../../common/diagnostics/index.js';
import type { AccountId, HostId, RequestId } from '../../common/ids/index.js';
import type { MessageToEntry, MessageToHolder } from './tokenMessage.js';

/** Kind of an output of the entry limiter or a rate bucket. */
export enum LimiterOutputKind {
  Admit = 'admit',
  Refuse = 'refuse',
  Send = 'send',
}

/** The request may run now; its tokens are spent. */
export interface Admit {
  readonly kind: LimiterOutputKind.Admit;
  readonly requestId: RequestId;
  readonly account: AccountId;
  readonly waitedMs: number;
}

/** The request was not run and is refused. */
export interface AdmissionRefusal {
  readonly kind: LimiterOutputKind.Refuse;
  readonly requestId: RequestId;
  readonly account: AccountId;
  readonly diagnostic: Diagnostic;
  readonly values: DiagnosticArguments;
  readonly retryAfterMs: number;
}

/** A message to send to another daemon; it may be lost. */
export interface OutgoingMessage<Message> {
  readonly kind: LimiterOutputKind.Send;
  readonly to: HostId;
  readonly message: Message;
}

/** Action that an entry limiter requests from its caller. */
export type EntryOutput = Admit | AdmissionRefusal | OutgoingMessage<MessageToHolder>;

/** Action that a rate bucket requests from its caller. */
export type BucketOutput = OutgoingMessage<MessageToEntry>;
