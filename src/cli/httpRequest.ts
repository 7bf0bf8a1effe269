import type { TimerService } from '../common/timer/index.js';
import { ReplyKind } from './replyKind.js';

/** One request, apart from where it is sent. */
export interface HttpRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body: string | undefined;
}

/** One try of a request at one address. */
export interface HttpTry extends HttpRequest {
  readonly url: string;
  readonly token: string | undefined;
  readonly timer: TimerService;
  /** Bound on this try, in milliseconds. */
  readonly limitMs: number;
}

/** What came of one try. */
export interface HttpReply {
  readonly kind: ReplyKind;
  readonly url: string;
  readonly status?: number;
  readonly body?: unknown;
  readonly problem?: string;
  readonly retryAfterMs?: number;
}

const MS_PER_SECOND = 1_000;
const UNAVAILABLE = 503;
const GATEWAY_TIMEOUT = 504;
const NOT_CONNECTED = new Set([
  'ECONNREFUSED',
  'ENOTFOUND',
  'EAI_AGAIN',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Sends a request once. */
export async function sendHttpRequest(attempt: HttpTry): Promise<HttpReply> {
  const { url, timer, limitMs } = attempt;
  const controller = new AbortController();
  const cancel = timer.once(limitMs, () => controller.abort(new Error('no answer in time')));
  try {
    const answer = await fetch(`${url.replace(/\/+$/, '')}${attempt.path}`, {
      method: attempt.method,
      headers: createHeaders(attempt),
      signal: controller.signal,
      ...(attempt.body === undefined ? {} : { body: attempt.body }),
    });
    return createReply(url, answer, await answer.text());
  } catch (cause) {
    return createFailedReply(url, cause);
  } finally {
    cancel();
  }
}

function createHeaders(attempt: HttpTry): Record<string, string> {
  const type = attempt.body === undefined ? {} : { 'content-type': 'application/json' };
  const access = attempt.token === undefined ? {} : { authorization: `Bearer ${attempt.token}` };
  return { ...type, ...access };
}

function createReply(url: string, answer: Response, text: string): HttpReply {
  const reply = { url, status: answer.status, body: parseBody(text) };
  if (answer.status === UNAVAILABLE) {
    const retryAfterMs = readRetryAfterMs(answer.headers);
    return { ...reply, kind: ReplyKind.Unavailable, retryAfterMs };
  }
  return {
    ...reply,
    kind: answer.status === GATEWAY_TIMEOUT ? ReplyKind.Lost : ReplyKind.Answered,
  };
}

/** The server's wish in seconds; none is taken from a date or anything else. */
function readRetryAfterMs(headers: Headers): number {
  const text = headers.get('retry-after') ?? '';
  return /^\d{1,6}$/.test(text) ? Number(text) * MS_PER_SECOND : 0;
}

function createFailedReply(url: string, cause: unknown): HttpReply {
  const reason = cause instanceof Error && cause.cause !== undefined ? cause.cause : cause;
  const code = (reason as { code?: unknown } | undefined)?.code;
  const problem = `${url}: ${reason instanceof Error ? reason.message : String(reason)}`;
  const isUnreachable = typeof code === 'string' && NOT_CONNECTED.has(code);
  return { url, problem, kind: isUnreachable ? ReplyKind.Unreachable : ReplyKind.Lost };
}

function parseBody(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}
