/** How a request of a load ended, as its caller must see it. */
export enum LoadOutcome {
  Acknowledged = 'acknowledged',
  /** Refused, and certainly not run. */
  NotRun = 'not run',
  /** It may have been run. */
  Unknown = 'unknown',
  /** Run or judged, and ended by an ordinary error without effect. */
  Failed = 'failed',
  /** Still waiting for a session of the load itself when the load ended. */
  Unsent = 'unsent',
}

/** How far a request had come. */
export enum RequestStage {
  /** There is no connection yet. */
  Connecting = 'connecting',
  /** Nothing was sent that has an effect by itself, as before a commit. */
  Preparing = 'preparing',
  /** Something was sent that may have an effect. */
  Sending = 'sending',
}

/** How an error ended a request. */
export interface LoadFailure {
  readonly outcome: LoadOutcome.NotRun | LoadOutcome.Unknown | LoadOutcome.Failed;
  /** The SQLSTATE, or the operating system's or client's error code. */
  readonly code: string;
  /** Whether the connection is of no more use. */
  readonly isFatal: boolean;
}

interface ClientError {
  readonly code?: unknown;
  readonly severity?: unknown;
  readonly detail?: unknown;
  readonly message?: unknown;
}

const SQL_STATE = /^[0-9A-Z]{5}$/;
const UNKNOWN_STATES = /^(08|57P0)/;

/** Judges an error of the `pg` client by its detail, its SQLSTATE and the request's stage. */
export function classifyFailure(cause: unknown, stage: RequestStage): LoadFailure {
  const { code, severity, detail, message } = cause as ClientError;
  const isFromServer = typeof code === 'string' && SQL_STATE.test(code) && severity !== undefined;
  if (!isFromServer) {
    const isUnknown = stage === RequestStage.Sending;
    const outcome = isUnknown ? LoadOutcome.Unknown : LoadOutcome.NotRun;
    const shown = typeof code === 'string' ? code : toText(message);
    return { outcome, code: shown, isFatal: true };
  }
  const isFatal = severity !== 'ERROR';
  return { outcome: judge(code, toText(detail), stage), code, isFatal };
}

function judge(sqlState: string, detail: string, stage: RequestStage): LoadFailure['outcome'] {
  if (stage === RequestStage.Connecting || detail.startsWith('not run')) {
    return LoadOutcome.NotRun;
  }
  if (stage === RequestStage.Preparing) {
    return LoadOutcome.Failed;
  }
  if (detail.startsWith('unknown') || UNKNOWN_STATES.test(sqlState)) {
    return LoadOutcome.Unknown;
  }
  return LoadOutcome.Failed;
}

function toText(value: unknown): string {
  return typeof value === 'string' ? value : '';
}
