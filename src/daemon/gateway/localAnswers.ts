import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import { StatementKind, type Statement } from '../../decisions/routing/index.js';
import { BatchItemKind, type BatchItem } from './batchItem.js';
import type { CallerBatch } from './callerBatch.js';
import {
  BIND_COMPLETE,
  CLOSE_COMPLETE,
  EMPTY_QUERY,
  encodeCommandComplete,
  encodeError,
  encodeTextColumn,
  encodeTextRow,
  NO_DATA,
  NO_PARAMETERS,
  PARSE_COMPLETE,
} from './responses.js';
import type { SessionSettings } from './sessionSettings.js';

/** Answer that the proxy gives to a batch itself, without a backend server. */
export interface LocalAnswer {
  readonly bytes: Buffer;
  /** Whether the session is still in a failed transaction: a lost one that has not been ended. */
  readonly isFailed: boolean;
}

const LOCAL_KINDS: ReadonlySet<StatementKind> = new Set([
  StatementKind.Set,
  StatementKind.Show,
  StatementKind.Empty,
  StatementKind.Refused,
]);

/**
 * Whether the proxy answers a batch itself: one that sets or shows settings, contains a refused
 * statement or is empty, and any batch in a failed transaction.
 */
export function isLocal(batch: CallerBatch, isFailed: boolean): boolean {
  if (isFailed || batch.executed.some(({ kind }) => kind === StatementKind.Refused)) {
    return true;
  }
  const statements = getStatements(batch);
  const hasLocal = statements.some(({ kind }) => isSettingKind(kind));
  const isEmpty = batch.isSimple && statements.every(({ kind }) => kind === StatementKind.Empty);
  const hasNoItems = !batch.isSimple && batch.items.length === 0;
  return hasLocal || isEmpty || hasNoItems;
}

/** Answers a batch for which `isLocal` returned true. */
export function answerLocally(
  batch: CallerBatch,
  settings: SessionSettings,
  isFailed: boolean,
): LocalAnswer {
  if (isFailed) {
    return answerInFailedTransaction(batch);
  }
  const nonLocal = getStatements(batch).find(({ kind }) => !LOCAL_KINDS.has(kind));
  if (nonLocal !== undefined) {
    const feature = 'a setting together with other statements';
    return { bytes: encodeError(createUnsupportedFault(feature)), isFailed };
  }
  const parts: Buffer[] = [];
  const steps = batch.isSimple ? batch.executed.map(toSimpleSteps).flat() : batch.items;
  for (const step of steps) {
    const answer = answerStep(step, settings, batch.isSimple);
    parts.push(...answer.parts);
    if (answer.isError) {
      break;
    }
  }
  return { bytes: Buffer.concat(parts), isFailed };
}

interface StepAnswer {
  readonly parts: readonly Buffer[];
  readonly isError: boolean;
}

function answerStep(
  { kind, statement }: BatchItem,
  settings: SessionSettings,
  isSimple: boolean,
): StepAnswer {
  switch (kind) {
    case BatchItemKind.Parse:
      return createAnswer(PARSE_COMPLETE);
    case BatchItemKind.Bind:
      return createAnswer(BIND_COMPLETE);
    case BatchItemKind.Close:
      return createAnswer(CLOSE_COMPLETE);
    case BatchItemKind.DescribeStatement:
      return createAnswer(NO_PARAMETERS, describe(statement));
    case BatchItemKind.DescribePortal:
      return createAnswer(describe(statement));
    case BatchItemKind.Execute:
      return execute(statement, settings, isSimple);
  }
}

function execute(
  statement: Statement | undefined,
  settings: SessionSettings,
  isSimple: boolean,
): StepAnswer {
  const { kind, parameter = '', value, feature = '' } = statement ?? {};
  switch (kind) {
    case StatementKind.Set:
      return settings.trySet(parameter, value).match(
        () => createAnswer(encodeCommandComplete(parameter === 'all' ? 'RESET' : 'SET')),
        (fault) => createErrorAnswer(fault),
      );
    case StatementKind.Show: {
      const parameterValue = settings.show(parameter);
      const column = isSimple ? [encodeTextColumn(parameter)] : [];
      return parameterValue === undefined
        ? createErrorAnswer(createUnsupportedFault(`SHOW ${parameter}`))
        : createAnswer(...column, encodeTextRow(parameterValue), encodeCommandComplete('SHOW'));
    }
    case StatementKind.Refused:
      return createErrorAnswer(createUnsupportedFault(feature));
    default:
      return createAnswer(EMPTY_QUERY);
  }
}

function answerInFailedTransaction(batch: CallerBatch): LocalAnswer {
  const [statement] = batch.executed;
  const isEnd =
    statement?.kind === StatementKind.Rollback || statement?.kind === StatementKind.Commit;
  if (!isEnd || batch.executed.length !== 1) {
    const fault = createFault(Diagnostics.TransactionFailed, {}, { step: 'caller.transaction' });
    return { bytes: encodeError(fault), isFailed: true };
  }
  const steps = batch.isSimple ? [encodeCommandComplete('ROLLBACK')] : endFailedTransaction(batch);
  return { bytes: Buffer.concat(steps), isFailed: false };
}

function endFailedTransaction(batch: CallerBatch): Buffer[] {
  return batch.items.flatMap(({ kind }) => {
    switch (kind) {
      case BatchItemKind.Parse:
        return [PARSE_COMPLETE];
      case BatchItemKind.Bind:
        return [BIND_COMPLETE];
      case BatchItemKind.Close:
        return [CLOSE_COMPLETE];
      case BatchItemKind.DescribeStatement:
        return [NO_PARAMETERS, NO_DATA];
      case BatchItemKind.DescribePortal:
        return [NO_DATA];
      case BatchItemKind.Execute:
        return [encodeCommandComplete('ROLLBACK')];
    }
  });
}

function getStatements(batch: CallerBatch): readonly Statement[] {
  const parsed = batch.items.flatMap(({ statement }) => statement ?? []);
  return [...batch.executed, ...parsed];
}

function toSimpleSteps(statement: Statement): BatchItem[] {
  return [{ kind: BatchItemKind.Execute, statement }];
}

function isSettingKind(kind: StatementKind): boolean {
  return kind === StatementKind.Set || kind === StatementKind.Show;
}

function describe(statement: Statement | undefined): Buffer {
  return statement?.kind === StatementKind.Show
    ? encodeTextColumn(statement.parameter ?? '')
    : NO_DATA;
}

function createAnswer(...parts: readonly Buffer[]): StepAnswer {
  return { parts, isError: false };
}

function createErrorAnswer(fault: Fault): StepAnswer {
  return { parts: [encodeError(fault)], isError: true };
}

function createUnsupportedFault(feature: string): Fault {
  return createFault(Diagnostics.FeatureNotSupported, { feature }, { step: 'caller.statement' });
}
