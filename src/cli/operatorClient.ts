import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { Diagnostics, Execution } from '../common/diagnostics/index.js';
import type { TimerService } from '../common/timer/index.js';
import type { FaultBody } from '../daemon/operators/faultBody.js';
import { createFailure, type CommandFailure } from './commandFailure.js';
import type { CommandOutcome } from './commandOutcome.js';
import { ExitStatus } from './exitStatus.js';
import { sendHttpRequest, type HttpReply, type HttpRequest } from './httpRequest.js';
import { ReplyKind } from './replyKind.js';

const ROUND_PAUSE_MS = 200;

/** Where and how the operators' HTTP interface is reached. */
export interface OperatorClientOptions {
  /** Base addresses, tried in turn. */
  readonly urls: readonly string[];
  readonly token: string | undefined;
  /** Bound on each request with all its tries, in milliseconds. */
  readonly timeoutMs: number;
  readonly timer: TimerService;
}

/**
 * Sends requests to the first operators' HTTP interface that answers. All requests are
 * idempotent, so one whose answer was lost is sent again.
 */
export class OperatorClient {
  constructor(private readonly options: OperatorClientOptions) {}

  /** Reads a resource. */
  get(path: string): CommandOutcome<unknown> {
    return this.request({ method: 'GET', path, body: undefined });
  }

  /** Sends a resource; the same body sent twice has the effect of one. */
  post(path: string, body: unknown): CommandOutcome<unknown> {
    return this.request({ method: 'POST', path, body: JSON.stringify(body) });
  }

  /** Reads a text from each address once and leaves out those that do not give it. */
  async getFromEach(path: string): Promise<readonly string[]> {
    const { urls, token, timer } = this.options;
    const request = { method: 'GET' as const, path, body: undefined };
    const limitMs = this.tryLimitMs;
    const replies = await Promise.all(
      urls.map((url) => sendHttpRequest({ ...request, url, token, timer, limitMs })),
    );
    return replies.flatMap(({ kind, body }) =>
      kind === ReplyKind.Answered && typeof body === 'string' ? [body] : [],
    );
  }

  /** Bound on one try, so that each address can be tried within the whole time. */
  private get tryLimitMs(): number {
    const { urls, timeoutMs } = this.options;
    return timeoutMs / (urls.length + 1);
  }

  private request(request: HttpRequest): CommandOutcome<unknown> {
    return new ResultAsync(this.requestInRounds(request));
  }

  private async requestInRounds(request: HttpRequest): Promise<Result<unknown, CommandFailure>> {
    const { timer, timeoutMs } = this.options;
    const endMs = timer.now() + timeoutMs;
    let last: HttpReply | undefined;
    let isUnknown = false;
    for (;;) {
      const replies = await this.requestRound(request, endMs);
      last = replies.at(-1) ?? last;
      isUnknown ||= replies.some((reply) => reply.kind === ReplyKind.Lost);
      if (last?.kind === ReplyKind.Answered) {
        return interpretReply(last);
      }
      const pauseMs = Math.max(ROUND_PAUSE_MS, last?.retryAfterMs ?? 0);
      const isHopeless = replies.every((reply) => reply.kind === ReplyKind.Unreachable);
      if (isHopeless || timer.now() + pauseMs >= endMs) {
        return err(createUnreachableFailure(request, last, isUnknown));
      }
      await new Promise<void>((resolve) => timer.once(pauseMs, () => resolve()));
    }
  }

  /** Tries each address once; ends with the first that answers. */
  private async requestRound(request: HttpRequest, endMs: number): Promise<HttpReply[]> {
    const { urls, token, timer } = this.options;
    const replies: HttpReply[] = [];
    for (const url of urls) {
      const limitMs = Math.min(this.tryLimitMs, endMs - timer.now());
      if (limitMs <= 0) {
        break;
      }
      const reply = await sendHttpRequest({ ...request, url, token, timer, limitMs });
      replies.push(reply);
      if (reply.kind === ReplyKind.Answered) {
        break;
      }
    }
    return replies;
  }
}

function interpretReply(reply: HttpReply): Result<unknown, CommandFailure> {
  const { status, body, url } = reply;
  if (status !== undefined && status >= 200 && status < 300) {
    return ok(body);
  }
  const exitStatus =
    status === 400 || status === 413 || status === 415 ? ExitStatus.BadInput : ExitStatus.Refused;
  if (isFaultBody(body)) {
    return err({ status: exitStatus, body: { peer: url, ...body } });
  }
  const problem = `HTTP status ${status ?? 0} from ${url}`;
  return err(createFailure(ExitStatus.Refused, Diagnostics.AnswerMalformed, { problem }, 'http'));
}

function createUnreachableFailure(
  request: HttpRequest,
  last: HttpReply | undefined,
  isUnknown: boolean,
): CommandFailure {
  const problem = isFaultBody(last?.body) ? last.body.message : (last?.problem ?? 'no time left');
  const failure = createFailure(
    ExitStatus.Unreachable,
    Diagnostics.OperatorsUnreachable,
    { problem },
    `${request.method} ${request.path}`,
  );
  const detail = isUnknown && request.method === 'POST' ? Execution.Unknown : Execution.NotRun;
  const peer = last === undefined ? {} : { peer: last.url };
  return { ...failure, body: { ...failure.body, detail, ...peer } };
}

function isFaultBody(body: unknown): body is FaultBody {
  return typeof body === 'object' && body !== null && 'code' in body && 'message' in body;
}
