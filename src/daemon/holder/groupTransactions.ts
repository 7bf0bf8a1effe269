import { createFault, Diagnostics, Execution, type Fault } from '../../common/diagnostics/index.js';
import type { Incarnation, InstanceId } from '../../common/ids/index.js';
import type { TimerService } from '../../common/timer/index.js';
import { isRequestOf, RequestKind, TransactionStatus } from '../requests/index.js';
import { createOutcomeUnknownFault, type HeldRequest } from './heldRequest.js';
import type { HeldTransaction } from './heldTransaction.js';

/** The open transactions of a held group; each holds one backend connection. */
export class GroupTransactions {
  private readonly open = new Map<string, HeldTransaction>();

  constructor(private readonly timer: TimerService) {}

  get count(): number {
    return this.open.size;
  }

  get(id: string): HeldTransaction | undefined {
    return this.open.get(id);
  }

  /** Returns the transactions that are open on an instance. */
  getByInstance(instance: InstanceId): readonly HeldTransaction[] {
    return [...this.open.values()].filter((transaction) => transaction.instance.id === instance);
  }

  /** Queues a request of an open transaction. */
  continue(id: string, held: HeldRequest): void {
    const transaction = this.open.get(id);
    if (transaction === undefined) {
      this.failTransactionLost(held);
      return;
    }
    if (transaction.current !== undefined) {
      const fault = createFault(
        Diagnostics.FeatureNotSupported,
        { feature: 'a second concurrent request in one transaction' },
        { step: 'holder.transaction' },
      );
      this.failStatement(held, transaction, fault);
      return;
    }
    transaction.current = held;
    held.instance = transaction.instance;
    transaction.instance.resume(transaction.id, held.deadlineMs);
  }

  /** Keeps the connection of a request that leaves a transaction open. */
  keepOpen(held: HeldRequest): void {
    const { request, instance, connection } = held;
    const known =
      request.transaction === undefined ? undefined : this.open.get(request.transaction);
    if (known !== undefined) {
      this.pause(known, held);
      return;
    }
    if (request.kind !== RequestKind.Begin || instance === undefined || connection === undefined) {
      this.refuseUnexpectedTransaction(held);
      return;
    }
    const created: HeldTransaction = { id: request.id, instance, connection, current: undefined };
    this.open.set(created.id, created);
    this.pause(created, held);
  }

  /** Removes the current statement, which will not run, from a transaction that stays open. */
  takeCurrent(id: string): HeldRequest | undefined {
    const transaction = this.open.get(id);
    const held = transaction?.current;
    if (transaction !== undefined) {
      transaction.current = undefined;
    }
    return held;
  }

  /** Removes a transaction that has ended. */
  remove(id: string): void {
    this.open.delete(id);
  }

  /**
   * Ends the transaction of a request whose connection was lost; returns false when it has none.
   */
  connectionLost(held: HeldRequest): boolean {
    const { transaction: id, mayCommit } = held.request;
    if (id === undefined) {
      return false;
    }
    this.end(id);
    if (mayCommit) {
      held.fail(createOutcomeUnknownFault('holder.commit', held.instance?.id), this.getDetails());
    } else {
      this.failTransactionLost(held);
    }
    return true;
  }

  /** Closes a transaction's connection, so that the backend server rolls it back. */
  abort(id: string): void {
    const transaction = this.open.get(id);
    if (transaction === undefined) {
      return;
    }
    const waiting = transaction.current?.startedMs === undefined ? transaction.current : undefined;
    this.end(id);
    transaction.connection.close();
    if (waiting !== undefined) {
      this.failTransactionLost(waiting);
    }
  }

  /** Aborts every transaction opened for callers of the entry daemon `owner`. */
  abortOwned(owner: Incarnation): void {
    for (const id of [...this.open.keys()]) {
      if (isRequestOf(id, owner)) {
        this.abort(id);
      }
    }
  }

  /** Fails a request that did not run and leaves its transaction open. */
  failStatement(held: HeldRequest, transaction: HeldTransaction, fault: Fault): void {
    held.status = TransactionStatus.Open;
    held.fail(fault, { ...this.getDetails(), transaction: transaction.id });
  }

  private end(id: string): void {
    const transaction = this.open.get(id);
    if (transaction !== undefined) {
      this.open.delete(id);
      transaction.instance.complete(transaction.id);
    }
  }

  /** Finishes a statement and frees the transaction's slot until its next statement. */
  private pause(transaction: HeldTransaction, held: HeldRequest): void {
    transaction.current = undefined;
    transaction.instance.pause(transaction.id);
    held.finish({ ...this.getDetails(), transaction: transaction.id });
    if (held.abandoned) {
      this.abort(transaction.id);
    }
  }

  private refuseUnexpectedTransaction(held: HeldRequest): void {
    held.connection?.close();
    held.instance?.complete(held.request.id);
    held.status = TransactionStatus.Idle;
    const feature = 'a transaction opened inside a statement';
    // Statements before the transaction that is rolled back may have been committed.
    const execution = held.request.mayCommit ? Execution.Unknown : Execution.NotRun;
    const context = { step: 'holder.transaction', execution };
    held.fail(
      createFault(Diagnostics.FeatureNotSupported, { feature }, context),
      this.getDetails(),
    );
  }

  /** Ends a transaction because the backend server declined one of its statements. */
  statementDeclined(held: HeldRequest, fault: Fault): void {
    const { transaction: id } = held.request;
    const transaction = id === undefined ? undefined : this.open.get(id);
    if (id !== undefined && transaction !== undefined) {
      this.end(id);
      transaction.connection.close();
    }
    held.status = TransactionStatus.Idle;
    held.fail(fault, this.getDetails());
  }

  private failTransactionLost(held: HeldRequest): void {
    const context = { step: 'holder.transaction', execution: Execution.NotRun };
    held.status = TransactionStatus.Idle;
    held.fail(createFault(Diagnostics.TransactionLost, {}, context), this.getDetails());
  }

  private getDetails(): { readonly nowMs: number } {
    return { nowMs: this.timer.now() };
  }
}
