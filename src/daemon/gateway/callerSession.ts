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
import type { ConnectionCharge } from '../clients/index.js';
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
import { BatchQueue } from './batchQueue.js';

/** Batches of one session that are run before other sessions go on. */
const BATCHES_PER_TURN = 64;
/** Batches that are made of received messages while another one runs. */
const MAXIMUM_WAITING = 64;

/** Session of an authenticated caller: runs its batches one at a time and answers them in order. */
export class CallerSession {
  private readonly settings: SessionSettings;
  private readonly frames: FrontendFrames;
  private readonly assembler: BatchAssembler;
  private readonly waiting = new BatchQueue();
  /** Request of the running batch, unless it has already ended. */
  private running: RunningRequest | undefined;
  private isRunningNext = false;
  private batchesInTurn = 0;
  /** Bytes of the batch that runs. */
  private runningBytes = 0;
  /** Whether a batch was sent and its outcome is awaited. */
  private busy = false;
  /** Whether the next batch waits until the caller's write buffer has drained. */
  private isAwaitingDrain = false;
  /** Transaction status in the last answer of a backend server. */
  private lastStatus = TransactionStatus.Idle;
  /** Whether the running batch ends the transaction. */
  private endsTransaction = false;
  /** Whether the running batch may change data permanently. */
  private mayChangeData = false;
  private transaction: string | undefined;
  /** Priority of the route, as of the begin of an open transaction. */
  private priority: number | undefined;
  /** Whether the transaction was lost and the caller has not ended it yet. */
  private hasFailedTransaction = false;
  private ended = false;
  private draining: Fault | undefined;
  /** Whether the session ends after the running batch, without starting another one. */
  private isFinishing = false;

  constructor(
    private readonly caller: AuthenticatedCaller,
    private readonly writer: CallerWriter,
    private readonly context: SessionContext,
    private readonly charge: ConnectionCharge,
    private readonly onEnded: () => void,
  ) {
    const { signer, statementTimeoutMs, maximumMessageBytes, classifier } = context;
    this.priority = caller.route.priority;
    this.settings = new SessionSettings(caller.account, signer, statementTimeoutMs);
    this.frames = new FrontendFrames(maximumMessageBytes);
    this.assembler = new BatchAssembler(classifier, maximumMessageBytes);
  }

  /** Whether no batch is running or waiting and no transaction is open. */
  get isIdle(): boolean {
    const hasWaiting = !this.waiting.isEmpty || this.frames.untakenBytes > 0;
    return !this.busy && !hasWaiting && this.transaction === undefined;
  }

  /** Applies the parameters of the StartupMessage; an invalid one ends the session. */
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

  /** Processes bytes received from the caller. */
  receive(bytes: Buffer): void {
    if (this.ended) {
      return;
    }
    this.frames.push(bytes);
    this.runNext();
    this.updateReading();
    if (this.charge.isWaiting) {
      this.writer.returnReceived(this.frames.takeBegun());
    }
  }

  /** Reads from the caller again, or stops, by what is held for it. */
  updateReading(): void {
    const { charge, waiting, assembler, frames, runningBytes } = this;
    const count = waiting.count + Number(this.busy);
    const bytes = waiting.byteLength + assembler.heldBytes + runningBytes;
    charge.setWaiting(count, bytes, frames.untakenBytes);
    const isBelow = waiting.isBelowHighWater && frames.untakenBytes === 0 && !this.isAwaitingDrain;
    this.writer.setReading(isBelow && charge.mayRead);
  }

  /** Cancels the running batch. */
  cancel(): void {
    this.running?.cancel();
  }

  /** Ends the session if its key or route was withdrawn. */
  recordsChanged(): void {
    const { account, keyId, route } = this.caller;
    const authorized = this.context.access.tryAuthorize(account, keyId, route.route);
    if (authorized.isErr() && !isLeaseExpired(authorized.error)) {
      this.fail(authorized.error);
    }
  }

  /** Ends the session with `reason` as soon as it is idle; undefined stops draining. */
  setDraining(reason: Fault | undefined): void {
    this.draining = reason;
    if (reason !== undefined && this.isIdle) {
      this.fail(reason);
    }
  }

  /** Ends the session with `reason` after the running batch, even in an open transaction. */
  finish(reason: Fault): void {
    this.draining = reason;
    this.isFinishing = true;
    if (!this.busy) {
      this.fail(reason);
    }
  }

  /** Ends the session with a final error, which also answers the running batch. */
  fail(fault: Fault): void {
    if (!this.ended) {
      const mayHaveCommitted = this.busy && this.mayChangeData;
      this.writer.end(
        encodeError(mayHaveCommitted ? withUnknownExecution(fault) : fault, Severity.Fatal),
      );
      this.close();
    }
  }

  /** Ends the session: abandons its running batch and rolls back its open transaction. */
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

  /**
   * Takes received messages until a number of batches waits. The others stay bytes: a chunk may
   * contain thousands of batches, each of which costs far more than its bytes.
   */
  private takeMessages(count: number): void {
    try {
      while (!this.ended && this.waiting.count < count && this.waiting.isBelowHighWater) {
        const message = this.frames.tryTake();
        if (message.isErr()) {
          throw message.error;
        }
        if (message.value === undefined) {
          break;
        }
        this.receiveMessage(message.value);
      }
    } catch (error) {
      if (!(error instanceof Fault)) {
        throw error;
      }
      this.fail(error);
    }
    if (this.frames.untakenBytes === 0 && !this.ended) {
      this.charge.setPartial(this.frames.heldBytes, this.frames.neededSize);
    }
  }

  private receiveMessage(message: Buffer): void {
    if (getFrontendType(message) === FrontendType.Terminate) {
      this.writer.end();
      this.close();
      return;
    }
    const batch = this.assembler.addMessage(message);
    if (batch !== undefined) {
      this.waiting.push(batch);
    }
  }

  /**
   * Runs waiting batches until one takes time. A batch that ends at once does not call this method
   * again: a caller may send any number of them ahead, and each would add to the call stack.
   */
  private runNext(): void {
    if (this.isRunningNext) {
      return;
    }
    this.isRunningNext = true;
    try {
      this.runWaiting();
      if (this.busy) {
        // A caller that ends the session or leaves is noticed while a batch runs.
        this.takeMessages(MAXIMUM_WAITING);
      }
    } finally {
      this.isRunningNext = false;
    }
  }

  private runWaiting(): void {
    if (this.isFinishing && !this.busy && this.draining !== undefined) {
      this.fail(this.draining);
    }
    while (!this.busy && !this.ended && this.batchesInTurn < BATCHES_PER_TURN) {
      if (this.applyBackpressure()) {
        return;
      }
      if (this.waiting.isEmpty) {
        this.takeMessages(1);
      }
      const batch = this.waiting.shift();
      if (batch === undefined) {
        this.setDraining(this.draining);
        return;
      }
      this.updateReading();
      this.countInTurn();
      this.run(batch);
    }
  }

  /** Lets other sessions go on after some batches, as those answered here take no other time. */
  private countInTurn(): void {
    this.batchesInTurn += 1;
    if (this.batchesInTurn === BATCHES_PER_TURN) {
      setImmediate(() => {
        this.batchesInTurn = 0;
        this.runNext();
        this.updateReading();
      });
    }
  }

  /** Returns whether the next batch must wait until the caller's write buffer has drained. */
  private applyBackpressure(): boolean {
    if (this.writer.isFull && !this.isAwaitingDrain) {
      this.isAwaitingDrain = true;
      this.writer.onDrained(() => {
        this.isAwaitingDrain = false;
        this.runNext();
        this.updateReading();
      });
      this.updateReading();
    }
    return this.isAwaitingDrain;
  }

  private run(batch: CallerBatch): void {
    const fault = this.findFault(batch);
    if (fault !== undefined) {
      this.writer.write(encodeError(fault));
      this.writeReady(this.status);
      return;
    }
    if (isLocal(batch, this.hasFailedTransaction)) {
      const answer = answerLocally(batch, this.settings, this.hasFailedTransaction);
      this.hasFailedTransaction = answer.isFailed;
      this.writer.write(answer.bytes);
      this.writeReady(this.status);
      return;
    }
    this.dispatch(batch);
  }

  private findFault(batch: CallerBatch): Fault | undefined {
    const { account, keyId, route } = this.caller;
    const authorized = this.context.access.tryAuthorize(account, keyId, route.route);
    // Without a valid lease the request waits for one; recordsChanged then checks the key again,
    // before the request is run.
    return authorized.isErr() && !isLeaseExpired(authorized.error) ? authorized.error : batch.fault;
  }

  private dispatch(batch: CallerBatch): void {
    const { account } = this.caller;
    const { settings, transaction, group } = this;
    this.updatePriority();
    const { priority } = this;
    const draft = createDraft(batch, { account, group, settings, transaction, priority });
    const deadlineMs = this.context.timer.now() + settings.statementTimeoutMs;
    this.busy = true;
    this.runningBytes = batch.bytes;
    this.endsTransaction = draft.kind === RequestKind.End;
    this.mayChangeData = draft.mayCommit;
    const receiver = new SessionReceiver(this.writer, (outcome) => this.handleOutcome(outcome));
    const running = this.context.requests.run(draft, batch.executed.length, deadlineMs, receiver);
    receiver.running = running;
    if (!receiver.isFinished) {
      this.running = running;
    }
  }

  /** Applies the route's present priority, except inside a transaction. */
  private updatePriority(): void {
    const { account, keyId, route } = this.caller;
    if (this.transaction === undefined) {
      // Without a valid lease the last known priority stays.
      this.priority = this.context.access
        .tryAuthorize(account, keyId, route.route)
        .map(({ priority }) => priority)
        .unwrapOr(this.priority);
    }
  }

  private handleOutcome(outcome: RequestOutcome): void {
    this.busy = false;
    this.runningBytes = 0;
    this.running = undefined;
    if (this.ended) {
      if (outcome.transaction !== undefined) {
        this.context.requests.abortTransaction(this.group, outcome.transaction);
      }
      return;
    }
    this.updateTransaction(outcome);
    if (outcome.fault !== undefined && !this.writer.isAtBoundary) {
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
    this.writeReady(outcome.fault === undefined ? outcome.status : this.status);
    this.runNext();
    this.updateReading();
  }

  private updateTransaction({ transaction, fault }: RequestOutcome): void {
    const open = this.transaction;
    const wasOpen = open !== undefined;
    this.transaction = transaction;
    if (transaction === undefined) {
      this.assembler.endTransaction();
      if (wasOpen && fault !== undefined) {
        this.context.requests.abortTransaction(this.group, open);
      }
      this.hasFailedTransaction =
        wasOpen && !this.endsTransaction && fault?.execution === Execution.NotRun;
      this.lastStatus = TransactionStatus.Idle;
    }
  }

  private get status(): TransactionStatus {
    if (this.hasFailedTransaction) {
      return TransactionStatus.Failed;
    }
    if (this.transaction === undefined) {
      return TransactionStatus.Idle;
    }
    const hasFailed = this.lastStatus === TransactionStatus.Failed;
    return hasFailed ? TransactionStatus.Failed : TransactionStatus.Open;
  }

  private writeReady(status: TransactionStatus): void {
    this.writer.write(encodeReady(status));
  }
}

/** Copies a fault, with an unknown outcome because the caller's statement may have been run. */
function withUnknownExecution({ diagnostic, values, step }: Fault): Fault {
  return createFault(diagnostic, values, { step, execution: Execution.Unknown });
}

function isLeaseExpired({ diagnostic }: Fault): boolean {
  return diagnostic.code === Diagnostics.LeaseExpired.code;
}
