import { err, ok, type Result } from 'neverthrow';
import { createFault, Diagnostics, Execution, type Fault } from '../../common/diagnostics/index.js';
import type { AccountId, GroupId } from '../../common/ids/index.js';
import type { RequestLog } from '../../common/logging/index.js';
import type { TimerService } from '../../common/timer/index.js';
import {
  getFurthest,
  type SessionPosition,
  type SessionStateBudget,
} from '../../decisions/sessions/index.js';
import { Consistency, type RouteState } from '../../decisions/tickets/index.js';
import type { CallerRequests, RequestDraft } from '../entry/index.js';
import {
  RequestKind,
  toFault,
  TransactionStatus,
  type RequestOutcome,
  type RunningRequest,
} from '../requests/index.js';
import { StatementVerb, type CallerStatement, type SessionStatement } from './callerStatement.js';
import type { CallerCredentials, SessionAccess, SessionGrant } from './sessionAccess.js';
import { SessionMemory } from './sessionMemory.js';
import type { SessionResponder } from './sessionResponder.js';
import type { StatementEncoder } from './statementEncoder.js';
import { StatementQueue } from './statementQueue.js';
import { RollbackReceiver, StatementReceiver } from './statementReceivers.js';

/** Time-out of a statement whose route sets none, in milliseconds. */
const DEFAULT_STATEMENT_TIMEOUT_MS = 30_000;
/** Statements of one session that are run before other sessions go on. */
const STATEMENTS_PER_TURN = 64;
/** Idle limit of a transaction whose route sets none, in milliseconds. */
const DEFAULT_TRANSACTION_IDLE_MS = 30_000;

/** Dependencies shared by all statement sessions. */
export interface StatementContext {
  readonly timer: TimerService;
  readonly access: SessionAccess;
  readonly requests: CallerRequests;
  readonly form: StatementEncoder;
  readonly log: RequestLog;
  readonly stateBudget: SessionStateBudget;
}

/** A caller's transaction; its first statement opens it on a backend server. */
interface SessionTransaction {
  readonly grant: SessionGrant;
  readonly readOnly: boolean;
  /** Transaction id at the group's holder, once it is open there. */
  id: string | undefined;
  wrote: boolean;
}

/** Options for sending a statement to a backend server. */
interface SendOptions {
  readonly kind: RequestKind;
  readonly mayCommit: boolean;
  /** Whether the statement commits its transaction. */
  readonly endsTransaction?: boolean;
  readonly prepared: SessionStatement | undefined;
}

/** Session of one caller: runs its statements one at a time and holds the session state. */
export class StatementSession {
  private readonly memory: SessionMemory;
  private readonly positions = new Map<GroupId, SessionPosition>();
  private readonly waiting = new StatementQueue();
  private transaction: SessionTransaction | undefined;
  /** Whether the transaction failed and the caller has not ended it yet. */
  private hasFailedTransaction = false;
  /** Request of the running statement, unless it has already ended. */
  private running: RunningRequest | undefined;
  /** What the running statement was sent under. */
  private runningGrant: SessionGrant | undefined;
  /** Why the running statement may not run any more, if it has not been started. */
  private revocation: Fault | undefined;
  private statementsInTurn = 0;
  /** Length of the text of the statement that was run last. */
  private runningLength = 0;
  /** Whether a statement was sent and its outcome is awaited. */
  private busy = false;
  /** Whether the running statement may change data permanently. */
  private mayChangeData = false;
  private ended = false;
  private draining = false;
  private isFinishing = false;
  private idleSinceMs: number;

  constructor(
    private readonly credentials: CallerCredentials,
    private readonly context: StatementContext,
    private readonly responder: SessionResponder,
    private readonly onEnded: () => void,
  ) {
    this.idleSinceMs = context.timer.now();
    this.memory = new SessionMemory(context.stateBudget);
  }

  /** Queues a statement; it is run after those before it have been answered. */
  receive(statement: CallerStatement): void {
    if (this.ended) {
      return;
    }
    this.waiting.push(statement);
    this.responder.setReading(this.waiting.isBelowHighWater);
    this.runNext();
    this.reportWaiting();
  }

  /** Runs the statements that waited for the caller to take its answers. */
  resume(): void {
    this.runNext();
    this.reportWaiting();
  }

  /** Ends the session as soon as no statement is running or waiting and no transaction is open. */
  drain(): void {
    this.draining = true;
    this.endWhenIdle();
  }

  /** Ends the session if no statement is running or waiting and no transaction is open. */
  endIfIdle(fault: Fault): void {
    const isIdle = !this.busy && this.waiting.isEmpty && !this.ended;
    if (isIdle && this.status === TransactionStatus.Idle) {
      this.endIdle(fault);
    }
  }

  /** Ends the session and its transaction after the running statement; starts no further one. */
  finish(): void {
    this.draining = true;
    this.isFinishing = true;
    this.runNext();
  }

  /** Cancels the running statement if that is still possible; it is answered in any case. */
  cancel(): void {
    this.running?.cancel();
  }

  /**
   * Rolls back the transaction once it has exceeded its idle limit or may not go on; refuses the
   * sent statement if its caller lost its rights and it has not been started.
   */
  tick(nowMs: number): void {
    const { transaction } = this;
    if (this.busy) {
      this.revokeUnauthorized();
      return;
    }
    if (transaction?.id === undefined) {
      return;
    }
    const { transactionIdleMs = DEFAULT_TRANSACTION_IDLE_MS } = transaction.grant.route;
    const mayContinue = this.context.access.tryContinue(this.credentials, transaction.grant).isOk();
    if (nowMs - this.idleSinceMs > transactionIdleMs || !mayContinue) {
      this.discardTransaction();
      this.hasFailedTransaction = true;
    }
  }

  /**
   * Ends the session at once: answers the running statement with what is known of its outcome and
   * refuses the waiting ones, and those that still come.
   */
  end(reason = createShuttingDownFault()): void {
    if (this.ended) {
      return;
    }
    if (this.busy) {
      this.responder.refuse(this.createInterruptedFault());
      this.responder.ready(TransactionStatus.Idle, undefined);
    }
    this.refuseWaiting(reason);
    this.endIdle(reason);
  }

  /** Ends a disconnected caller's session: abandons its statement, rolls back its transaction. */
  close(): void {
    if (this.ended) {
      return;
    }
    this.ended = true;
    this.waiting.takeAll();
    this.memory.clear();
    this.running?.abandon();
    this.discardTransaction();
    this.onEnded();
  }

  private revokeUnauthorized(): void {
    if (this.running === undefined || this.runningGrant === undefined) {
      return;
    }
    const continued = this.tryContinueRunning(this.runningGrant);
    if (continued.isErr()) {
      this.revocation = continued.error;
      // Repeated, as the request may have been started and queued again since.
      this.running.revoke();
    }
  }

  private tryContinueRunning(grant: SessionGrant): Result<void, Fault> {
    const { access } = this.context;
    if (this.transaction !== undefined) {
      return access.tryContinue(this.credentials, grant);
    }
    // A key that belongs to another account now is valid for a statement that is sent again.
    return access
      .tryGrant(this.credentials)
      .andThen(({ account }) =>
        account === grant.account
          ? ok(undefined)
          : err(createFault(Diagnostics.RequestCancelled, {}, { step: 'session.revoke' })),
      );
  }

  private get status(): TransactionStatus {
    if (this.hasFailedTransaction) {
      return TransactionStatus.Failed;
    }
    return this.transaction === undefined ? TransactionStatus.Idle : TransactionStatus.Open;
  }

  private runNext(): void {
    while (!this.busy && !this.ended && (this.isFinishing || this.mayRunNow)) {
      if (this.isFinishing) {
        this.refuseWaiting();
      }
      const statement = this.waiting.shift();
      if (statement === undefined) {
        this.endWhenIdle();
        return;
      }
      this.responder.setReading(this.waiting.isBelowHighWater);
      this.runningLength = statement.text.length;
      this.countInTurn();
      this.run(statement);
    }
  }

  private get mayRunNow(): boolean {
    return !this.responder.isFull && this.statementsInTurn < STATEMENTS_PER_TURN;
  }

  /** Lets other sessions go on after some statements, as those answered here take no other time. */
  private countInTurn(): void {
    this.statementsInTurn += 1;
    if (this.statementsInTurn === STATEMENTS_PER_TURN) {
      setImmediate(() => {
        this.statementsInTurn = 0;
        this.resume();
      });
    }
  }

  private reportWaiting(): void {
    const { waiting, busy } = this;
    const runningLength = busy ? this.runningLength : 0;
    this.responder.setWaiting(waiting.count + Number(busy), waiting.textLength + runningLength);
  }

  private endWhenIdle(): void {
    if (!this.draining || this.busy || !this.waiting.isEmpty || this.ended) {
      return;
    }
    if (this.status === TransactionStatus.Idle) {
      this.endIdle(createShuttingDownFault());
    } else if (this.isFinishing) {
      const context = { step: 'session.finish', execution: Execution.NotRun };
      this.endIdle(createFault(Diagnostics.TransactionLost, {}, context));
    }
  }

  private endIdle(fault: Fault): void {
    this.responder.endIdle(fault);
    this.close();
  }

  /**
   * Creates the fault for an interrupted statement: TransactionLost inside a transaction that it
   * does not commit, since the transaction is rolled back; otherwise an unknown outcome.
   */
  private createInterruptedFault(): Fault {
    const step = 'session.end';
    return this.transaction === undefined || this.mayChangeData
      ? createFault(Diagnostics.OutcomeUnknown, {}, { step, execution: Execution.Unknown })
      : createFault(Diagnostics.TransactionLost, {}, { step, execution: Execution.NotRun });
  }

  private refuseWaiting(reason = createShuttingDownFault()): void {
    for (const statement of this.waiting.takeAll()) {
      this.refuse(reason, statement);
    }
  }

  private run(statement: CallerStatement): void {
    if (this.hasFailedTransaction) {
      this.runInFailedTransaction(statement);
      return;
    }
    switch (statement.verb) {
      case StatementVerb.Begin:
        this.begin(statement);
        return;
      case StatementVerb.Commit:
        this.commit(statement);
        return;
      case StatementVerb.Rollback:
        this.discardTransaction();
        this.answerDone();
        return;
      case StatementVerb.Set:
        this.set(statement);
        return;
      case StatementVerb.Prepare:
        this.prepare(statement);
        return;
      case StatementVerb.Deallocate:
        this.deallocate(statement);
        return;
      case StatementVerb.Execute:
        this.execute(statement);
        return;
      case StatementVerb.Read:
      case StatementVerb.Write:
        this.dispatch(statement, statement.verb === StatementVerb.Write, undefined);
        return;
      case StatementVerb.Malformed:
        this.refuse(
          createFault(Diagnostics.MessageMalformed, {}, { step: 'session.read' }),
          statement,
        );
    }
  }

  /**
   * Handles a statement in a failed transaction. Rollback ends the transaction, Commit ends it with
   * a TransactionLost refusal, and all other statements are refused.
   */
  private runInFailedTransaction({ verb }: CallerStatement): void {
    if (verb === StatementVerb.Rollback) {
      this.hasFailedTransaction = false;
      this.answerDone();
      return;
    }
    const context = { step: 'session.failed', execution: Execution.NotRun };
    this.hasFailedTransaction = verb !== StatementVerb.Commit;
    const diagnostic = this.hasFailedTransaction
      ? Diagnostics.TransactionFailed
      : Diagnostics.TransactionLost;
    this.responder.refuse(createFault(diagnostic, {}, context));
    this.answerReady();
  }

  private begin(statement: CallerStatement): void {
    const { readOnly = false } = statement;
    const granted = this.context.access.tryGrant(this.credentials);
    if (granted.isErr() || this.transaction !== undefined) {
      const step = 'session.begin';
      this.refuse(
        granted.isErr() ? granted.error : createFault(Diagnostics.MessageMalformed, {}, { step }),
        statement,
      );
      return;
    }
    this.transaction = { grant: granted.value, readOnly, id: undefined, wrote: false };
    this.answerDone();
  }

  private commit(statement: CallerStatement): void {
    const { transaction } = this;
    if (transaction === undefined) {
      this.refuse(
        createFault(Diagnostics.MessageMalformed, {}, { step: 'session.commit' }),
        statement,
      );
      return;
    }
    const continued = this.context.access.tryContinue(this.credentials, transaction.grant);
    if (continued.isErr()) {
      // COMMIT ends a transaction, also one that can only be rolled back.
      this.discardTransaction();
      this.refuse(continued.error, statement);
      return;
    }
    this.send(statement, transaction.grant, {
      kind: transaction.id === undefined ? RequestKind.Begin : RequestKind.End,
      mayCommit: transaction.wrote,
      endsTransaction: true,
      prepared: undefined,
    });
  }

  private set(statement: CallerStatement): void {
    const { name = '', value = '' } = statement;
    this.answerKept(this.memory.trySet(name, value), statement);
  }

  private prepare(statement: CallerStatement): void {
    const prepared = this.context.form.createPrepared(statement);
    this.answerKept(this.memory.tryPrepare(statement.name ?? '', prepared), statement);
  }

  private answerKept(isKept: boolean, statement: CallerStatement): void {
    if (isKept) {
      this.answerDone();
      return;
    }
    const context = { step: 'session.state', execution: Execution.NotRun };
    this.refuse(createFault(Diagnostics.SessionStateTooLarge, {}, context), statement);
  }

  private deallocate({ name = '' }: CallerStatement): void {
    if (this.memory.deallocate(name)) {
      this.answerDone();
    } else {
      this.refuse(createFault(Diagnostics.StatementUnknown, { name }, { step: 'session.forget' }));
    }
  }

  private execute(statement: CallerStatement): void {
    const { name = '' } = statement;
    const prepared = this.memory.getPrepared(name);
    if (prepared === undefined) {
      this.refuse(
        createFault(Diagnostics.StatementUnknown, { name }, { step: 'session.execute' }),
        statement,
      );
      return;
    }
    this.dispatch(statement, prepared.isWrite, prepared);
  }

  private dispatch(
    statement: CallerStatement,
    isWrite: boolean,
    prepared: SessionStatement | undefined,
  ): void {
    const { transaction } = this;
    const { access } = this.context;
    const granted = access.tryGrant(this.credentials).andThen((grant) => {
      const opened = transaction?.grant ?? grant;
      return access.tryContinue(this.credentials, opened).map(() => grant);
    });
    if (granted.isErr()) {
      this.refuse(granted.error, statement);
      return;
    }
    if (transaction === undefined) {
      const kind = isWrite ? RequestKind.Write : RequestKind.Read;
      this.send(statement, granted.value, { kind, mayCommit: isWrite, prepared });
      return;
    }
    transaction.wrote ||= isWrite;
    const kind = transaction.id === undefined ? RequestKind.Begin : RequestKind.Inside;
    // A changed route applies only from the next transaction.
    this.send(statement, transaction.grant, { kind, mayCommit: false, prepared });
  }

  private send(
    statement: CallerStatement,
    grant: SessionGrant,
    { kind, mayCommit, prepared, endsTransaction = false }: SendOptions,
  ): void {
    const { account, route } = grant;
    const { timer, form, requests } = this.context;
    const draft: RequestDraft = {
      ...this.createDraft(account, route, kind),
      mayCommit,
      trace: statement.id,
      costClass: `${route.route}/${statement.verb}`,
      prepared:
        prepared === undefined ? [] : [{ name: prepared.sharedName, message: prepared.message }],
      payload: form.createPayload(statement, prepared),
    };
    const isAlreadyAdmitted = kind === RequestKind.Inside || kind === RequestKind.End;
    const timeoutMs = route.statementTimeoutMs ?? DEFAULT_STATEMENT_TIMEOUT_MS;
    this.busy = true;
    this.mayChangeData = mayCommit;
    const receiver = new StatementReceiver(this.responder, (outcome) =>
      this.handleOutcome(route.group, endsTransaction, outcome),
    );
    const deadlineMs = timer.now() + timeoutMs;
    const running = requests.run(draft, isAlreadyAdmitted ? 0 : 1, deadlineMs, receiver);
    if (!receiver.isFinished) {
      receiver.running = running;
      this.running = running;
      this.runningGrant = grant;
    }
  }

  private createDraft(
    account: AccountId,
    route: RouteState,
    kind: RequestKind,
  ): Omit<RequestDraft, 'mayCommit' | 'costClass' | 'prepared' | 'payload'> {
    const { transaction } = this;
    const { group, maximumStalenessMs, targetLatencyMs, priority } = route;
    const { consistency = Consistency.Session } = route;
    const session = consistency === Consistency.Session ? this.positions.get(group) : undefined;
    const { values } = this.memory;
    return {
      group,
      account,
      kind,
      idempotent: kind === RequestKind.Read,
      closesConnection: false,
      latest: consistency === Consistency.Latest,
      readOnly: kind === RequestKind.Read || transaction?.readOnly === true,
      ...(values.length === 0 ? {} : { values }),
      ...(session === undefined ? {} : { session }),
      ...(maximumStalenessMs === undefined ? {} : { maximumStalenessMs }),
      ...(targetLatencyMs === undefined ? {} : { targetMs: targetLatencyMs }),
      ...(priority === undefined ? {} : { priority }),
      ...(transaction?.id === undefined ? {} : { transaction: transaction.id }),
    };
  }

  private handleOutcome(group: GroupId, endsTransaction: boolean, outcome: RequestOutcome): void {
    this.busy = false;
    this.running = undefined;
    const { revocation } = this;
    this.revocation = undefined;
    if (this.ended) {
      this.rollBack(group, outcome.transaction);
      return;
    }
    this.updateTransaction(endsTransaction, outcome);
    if (outcome.fault !== undefined) {
      const isRevoked = outcome.fault.code === Diagnostics.RequestCancelled.code;
      this.responder.refuse((isRevoked ? revocation : undefined) ?? toFault(outcome.fault));
    }
    const { position } = outcome;
    if (position !== undefined && outcome.wrote && outcome.fault === undefined) {
      const furthest = getFurthest(this.positions.get(group), position);
      this.positions.set(group, furthest ?? position);
    }
    this.answerReady(position);
    this.runNext();
    this.reportWaiting();
  }

  /** Updates the transaction after a statement; a failed statement always ends it. */
  private updateTransaction(endsTransaction: boolean, outcome: RequestOutcome): void {
    const { transaction } = this;
    if (transaction === undefined) {
      return;
    }
    const { grant } = transaction;
    if (
      outcome.fault === undefined &&
      outcome.status === TransactionStatus.Open &&
      !endsTransaction
    ) {
      transaction.id = outcome.transaction;
      return;
    }
    this.transaction = undefined;
    this.rollBack(grant.route.group, outcome.transaction, grant);
    this.hasFailedTransaction = !endsTransaction;
  }

  private discardTransaction(): void {
    const { transaction } = this;
    this.transaction = undefined;
    if (transaction?.id !== undefined && !this.busy) {
      this.rollBack(transaction.grant.route.group, transaction.id, transaction.grant);
    }
  }

  /** Rolls back a transaction to free its backend connection; the caller does not wait for it. */
  private rollBack(group: GroupId, id: string | undefined, grant?: SessionGrant): void {
    if (id === undefined) {
      return;
    }
    const { requests, form, timer } = this.context;
    if (grant === undefined) {
      requests.abortTransaction(group, id);
      return;
    }
    const { account, route } = grant;
    const draft: RequestDraft = {
      ...this.createDraft(account, route, RequestKind.End),
      transaction: id,
      mayCommit: false,
      costClass: 'rollback',
      prepared: [],
      payload: form.createRollback(),
    };
    const receiver = new RollbackReceiver((outcome) => {
      if (outcome.transaction !== undefined) {
        requests.abortTransaction(group, outcome.transaction);
      }
    });
    const deadlineMs = timer.now() + DEFAULT_STATEMENT_TIMEOUT_MS;
    requests.run(draft, 0, deadlineMs, receiver);
  }

  private answerDone(): void {
    this.responder.answerDone();
    this.answerReady();
  }

  private refuse(fault: Fault, statement?: CallerStatement): void {
    const { database } = this.credentials;
    const outcome = `FP${fault.diagnostic.code}`;
    this.context.log.record(Diagnostics.RequestEnded, { outcome }, true, () => ({
      ...{ request: statement?.id, database, status: this.status },
      ...{ revision: this.context.access.revision, cause: fault.message },
      ...{ step: fault.step, execution: fault.execution },
    }));
    if (this.transaction !== undefined) {
      this.discardTransaction();
      this.hasFailedTransaction = true;
    }
    this.responder.refuse(fault);
    this.answerReady();
  }

  private answerReady(position?: SessionPosition): void {
    this.idleSinceMs = this.context.timer.now();
    this.responder.ready(this.status, position);
  }
}

function createShuttingDownFault(): Fault {
  return createFault(Diagnostics.ShuttingDown, {}, { step: 'session.drain' });
}
