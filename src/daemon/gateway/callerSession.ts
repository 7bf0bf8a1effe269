import { createFault, Diagnostics, Execution, Fault } from '../../common/diagnostics/index.js';
import type { GroupId } from '../../common/ids/index.js';
import { advanceSession } from '../../decisions/sessions/index.js';
import {
  RequestKind,
  toFault,
  TransactionStatus,
  type RequestOutcome,
  type RunningRequest,
} from '../requests/index.js';
import type { AuthenticatedCaller } from './authenticatedCaller.js';
import { BatchAssembler } from './batchAssembler.js';
import type { CallerBatch } from './callerBatch.js';
import type { CallerWriter } from './callerWriter.js';
import { createDraft } from './createDraft.js';
import { FrontendFrames } from './frontendFrames.js';
import { FrontendType, getFrontendType } from './frontendType.js';
import { answerLocally, isLocal } from './localAnswers.js';
import { encodeError, encodeParameter, encodeReady, Severity } from './responses.js';
import type { SessionContext } from './sessionContext.js';
import { SessionReceiver } from './sessionReceiver.js';
import { SESSION_PARAMETER, SessionSettings } from './sessionSettings.js';
import { WaitingBatches } from './waitingBatches.js';

/** One authenticated caller: reads its batches, has them run one after another, answers in order. */
export class CallerSession {
  private readonly settings: SessionSettings;
  private readonly frames: FrontendFrames;
  private readonly assembler: BatchAssembler;
  private readonly waiting = new WaitingBatches();
  private running: RunningRequest | undefined;
  private busy = false;
  /** The next batch waits until the caller has taken more of its answers. */
  private blocked = false;
  /** Status that the last answer of a backend server gave. */
  private lastStatus = TransactionStatus.Idle;
  /** The batch that runs ends the transaction. */
  private ending = false;
  /** The batch that runs may change data for good. */
  private committing = false;
  private transaction: string | undefined;
  /** The transaction was lost; the caller has not ended it yet. */
  private failed = false;
  private ended = false;
  private draining: Fault | undefined;
  /** No further batch is run. */
  private finishing = false;

  constructor(
    private readonly caller: AuthenticatedCaller,
    private readonly writer: CallerWriter,
    private readonly context: SessionContext,
    private readonly onEnded: () => void,
  ) {
    const { signer, statementTimeoutMs, maximumMessageBytes, classifier } = context;
    this.settings = new SessionSettings(caller.account, signer, statementTimeoutMs);
    this.frames = new FrontendFrames(maximumMessageBytes);
    this.assembler = new BatchAssembler(classifier, maximumMessageBytes);
  }

  /** Nothing runs, nothing waits and no transaction is open. */
  get isIdle(): boolean {
    return !this.busy && this.waiting.isEmpty && this.transaction === undefined;
  }

  /** Sets the parameters of the start-up message; a wrong one ends the session. */
  applyStartup(parameters: ReadonlyMap<string, string>): void {
    for (const [name, value] of parameters) {
      const result = this.settings.trySet(name.toLowerCase(), value);
      if (result.isErr()) {
        this.fail(result.error);
        return;
      }
    }
    this.writer.write(encodeReady(TransactionStatus.Idle));
  }

  /** Takes bytes from the caller. */
  receive(bytes: Buffer): void {
    if (this.ended) {
      return;
    }
    const messages = this.frames.tryPush(bytes);
    if (messages.isErr()) {
      this.fail(messages.error);
      return;
    }
    try {
      for (const message of messages.value) {
        this.take(message);
      }
    } catch (error) {
      if (!(error instanceof Fault)) {
        throw error;
      }
      this.fail(error);
    }
    this.next();
  }

  /** Cancels what runs now. */
  cancel(): void {
    this.running?.cancel();
  }

  /** Ends the session if its key or route is no longer in force. */
  recordsChanged(): void {
    const { account, keyId, route } = this.caller;
    const checked = this.context.access.tryCheck(account, keyId, route.route);
    if (checked.isErr() && !isLeaseExpired(checked.error)) {
      this.fail(checked.error);
    }
  }

  /** Ends the session with the reason as soon as nothing runs in it; undefined: goes on. */
  setDraining(reason: Fault | undefined): void {
    this.draining = reason;
    if (reason !== undefined && this.isIdle) {
      this.fail(reason);
    }
  }

  /** Ends the session, an open transaction too, with the reason as soon as nothing runs in it. */
  finish(reason: Fault): void {
    this.draining = reason;
    this.finishing = true;
    if (!this.busy) {
      this.fail(reason);
    }
  }

  /** Ends the session with a last error, which answers what runs too. */
  fail(fault: Fault): void {
    if (!this.ended) {
      const mayBeKept = this.busy && this.committing;
      this.writer.end(encodeError(mayBeKept ? createUnknown(fault) : fault, Severity.Fatal));
      this.close();
    }
  }

  /** Forgets the caller and gives up what runs for it. */
  close(): void {
    if (this.ended) {
      return;
    }
    this.ended = true;
    this.waiting.clear();
    this.running?.abandon();
    if (this.transaction !== undefined) {
      this.context.requests.abortTransaction(this.group, this.transaction);
    }
    this.onEnded();
  }

  private get group(): GroupId {
    return this.caller.route.group;
  }

  private take(message: Buffer): void {
    if (this.ended) {
      return;
    }
    if (getFrontendType(message) === FrontendType.Terminate) {
      this.writer.end();
      this.close();
      return;
    }
    const batch = this.assembler.take(message);
    if (batch === undefined) {
      return;
    }
    this.waiting.push(batch);
    this.updateReading();
  }

  private next(): void {
    if (this.finishing && !this.busy && this.draining !== undefined) {
      this.fail(this.draining);
    }
    while (!this.busy && !this.ended) {
      if (this.isBlocked()) {
        return;
      }
      const batch = this.waiting.take();
      if (batch === undefined) {
        this.setDraining(this.draining);
        return;
      }
      this.updateReading();
      this.run(batch);
    }
  }

  /** Whether the caller has yet to take its answers before more is produced. */
  private isBlocked(): boolean {
    if (this.writer.isFull && !this.blocked) {
      this.blocked = true;
      this.writer.onDrained(() => {
        this.blocked = false;
        this.next();
      });
    }
    this.updateReading();
    return this.blocked;
  }

  private updateReading(): void {
    this.writer.setReading(this.waiting.hasRoom && !this.blocked);
  }

  private run(batch: CallerBatch): void {
    const refused = this.findFault(batch);
    if (refused !== undefined) {
      this.writer.write(encodeError(refused));
      this.ready(this.status);
      return;
    }
    if (isLocal(batch, this.failed)) {
      const answer = answerLocally(batch, this.settings, this.failed);
      this.failed = answer.isFailed;
      this.writer.write(answer.bytes);
      this.ready(this.status);
      return;
    }
    this.dispatch(batch);
  }

  private findFault(batch: CallerBatch): Fault | undefined {
    const { account, keyId, route } = this.caller;
    const checked = this.context.access.tryCheck(account, keyId, route.route);
    // Without a lease the request waits for one; then the key is checked again before it runs.
    return checked.isErr() && !isLeaseExpired(checked.error) ? checked.error : batch.fault;
  }

  private dispatch(batch: CallerBatch): void {
    const { account } = this.caller;
    const { settings, transaction, group } = this;
    const draft = createDraft(batch, { account, group, settings, transaction });
    const deadlineMs = this.context.timer.now() + settings.statementTimeoutMs;
    this.busy = true;
    this.ending = draft.kind === RequestKind.End;
    this.committing = draft.mayCommit;
    const receiver = new SessionReceiver(this.writer, (outcome) => this.answered(outcome));
    const running = this.context.requests.run(draft, batch.executed.length, deadlineMs, receiver);
    receiver.running = running;
    if (!receiver.isFinished) {
      this.running = running;
    }
  }

  private answered(outcome: RequestOutcome): void {
    this.busy = false;
    this.running = undefined;
    if (this.ended) {
      if (outcome.transaction !== undefined) {
        this.context.requests.abortTransaction(this.group, outcome.transaction);
      }
      return;
    }
    this.takeTransaction(outcome);
    if (outcome.fault !== undefined && !this.writer.isAtBorder) {
      this.fail(toFault(outcome.fault));
      return;
    }
    if (outcome.fault !== undefined) {
      this.writer.write(encodeError(toFault(outcome.fault)));
    } else {
      this.lastStatus = outcome.status;
    }
    if (outcome.position !== undefined) {
      advanceSession(this.settings.positions, this.group, outcome.position);
      if (outcome.wrote) {
        this.writer.write(encodeParameter(SESSION_PARAMETER, this.settings.getToken()));
      }
    }
    this.ready(outcome.fault === undefined ? outcome.status : this.status);
    this.next();
  }

  private takeTransaction({ transaction, fault }: RequestOutcome): void {
    const open = this.transaction;
    const wasOpen = open !== undefined;
    this.transaction = transaction;
    if (transaction === undefined) {
      this.assembler.endTransaction();
      if (wasOpen && fault !== undefined) {
        this.context.requests.abortTransaction(this.group, open);
      }
      this.failed = wasOpen && !this.ending && fault?.execution === Execution.NotRun;
      this.lastStatus = TransactionStatus.Idle;
    }
  }

  private get status(): TransactionStatus {
    if (this.failed) {
      return TransactionStatus.Failed;
    }
    if (this.transaction === undefined) {
      return TransactionStatus.Idle;
    }
    const hasFailed = this.lastStatus === TransactionStatus.Failed;
    return hasFailed ? TransactionStatus.Failed : TransactionStatus.Open;
  }

  private ready(status: TransactionStatus): void {
    this.writer.write(encodeReady(status));
  }
}

/** Why a session ends, to a caller whose statement may have been run. */
function createUnknown({ diagnostic, values, step }: Fault): Fault {
  return createFault(diagnostic, values, { step, execution: Execution.Unknown });
}

function isLeaseExpired({ diagnostic }: Fault): boolean {
  return diagnostic.code === Diagnostics.LeaseExpired.code;
}
