import type { AccountId, GroupId } from '../../common/ids/index.js';
import { StatementKind, type Statement } from '../../decisions/routing/index.js';
import type { RequestDraft } from '../entry/index.js';
import { RequestKind } from '../requests/index.js';
import type { CallerBatch } from './callerBatch.js';
import type { SessionSettings } from './sessionSettings.js';

/** Session state that a request is created from. */
export interface DraftContext {
  readonly account: AccountId;
  readonly group: GroupId;
  readonly settings: SessionSettings;
  readonly transaction: string | undefined;
  /** Priority of the route, fixed for a transaction at its begin. */
  readonly priority: number | undefined;
}

/** Creates the request for a batch. */
export function createDraft(batch: CallerBatch, context: DraftContext): RequestDraft {
  const { account, group, settings, transaction, priority } = context;
  const { executed, prepared, payload, costClass } = batch;
  const kind = getRequestKind(executed, transaction !== undefined);
  const session = settings.positions.get(group);
  const { maximumStalenessMs } = settings;
  return {
    group,
    account,
    kind,
    idempotent: kind === RequestKind.Read || (settings.idempotent && kind === RequestKind.Write),
    mayCommit: mayCommit(kind, executed),
    closesConnection: executed.some(({ unclassified }) => unclassified),
    costClass,
    prepared,
    payload: payload.length === 1 && payload[0] !== undefined ? payload[0] : Buffer.concat(payload),
    ...(session === undefined ? {} : { session }),
    ...(maximumStalenessMs === undefined ? {} : { maximumStalenessMs }),
    ...(transaction === undefined ? {} : { transaction }),
    ...(priority === undefined ? {} : { priority }),
  };
}

function getRequestKind(executed: readonly Statement[], isInTransaction: boolean): RequestKind {
  if (isInTransaction) {
    return executed.some(endsTransaction) ? RequestKind.End : RequestKind.Inside;
  }
  if (executed.some(opensTransaction)) {
    return RequestKind.Begin;
  }
  const isRead = executed.every(({ kind }) => kind !== StatementKind.Write);
  return isRead ? RequestKind.Read : RequestKind.Write;
}

function mayCommit(kind: RequestKind, executed: readonly Statement[]): boolean {
  switch (kind) {
    case RequestKind.Read:
    case RequestKind.Inside:
      return false;
    case RequestKind.Write:
      return true;
    case RequestKind.Begin:
      return executed.length > 1 || executed.some(({ controlsTransaction }) => controlsTransaction);
    case RequestKind.End:
      return executed.some(
        (statement) => statement.kind === StatementKind.Commit || statement.controlsTransaction,
      );
  }
}

function opensTransaction({ kind, controlsTransaction }: Statement): boolean {
  return kind === StatementKind.Begin || controlsTransaction;
}

function endsTransaction({ kind, controlsTransaction }: Statement): boolean {
  return kind === StatementKind.Commit || kind === StatementKind.Rollback || controlsTransaction;
}
