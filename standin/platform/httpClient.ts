import { Agent, request, type ClientRequest, type IncomingMessage } from 'node:http';
import { ResultAsync } from 'neverthrow';
import { createFault, Diagnostics, Fault } from '../../src/common/diagnostics/index.js';
import type { Outcome } from '../../src/common/result.js';

const HIGHEST_SUCCESS = 299;

/** What to ask of another HTTP server. */
export interface HttpCall {
  /** The server's `ip:port`. */
  readonly address: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  /** Sent as JSON. */
  readonly body?: unknown;
  readonly token?: string | undefined;
  readonly timeoutMs: number;
}

/** Calls other HTTP servers from the instance's own address. */
export class HttpClient {
  private readonly agent: Agent;

  constructor(private readonly localAddress: string) {
    this.agent = new Agent({ keepAlive: true, localAddress });
  }

  /** Calls and reads a JSON answer; an empty answer is undefined. */
  call(call: HttpCall): Outcome<unknown> {
    return ResultAsync.fromPromise(this.send(call), (cause) => toFault(call, cause));
  }

  /** Opens an answer that goes on until either side ends it. */
  open(address: string, path: string): ClientRequest {
    const { host, port } = splitAddress(address);
    return request({ host, port, path, localAddress: this.localAddress, agent: false });
  }

  /** Ends all kept connections. */
  close(): void {
    this.agent.destroy();
  }

  private send(call: HttpCall): Promise<unknown> {
    const { host, port } = splitAddress(call.address);
    const { method, path, timeoutMs } = call;
    const body = call.body === undefined ? undefined : JSON.stringify(call.body);
    return new Promise((resolve, reject) => {
      const outgoing = request(
        { host, port, method, path, agent: this.agent, localAddress: this.localAddress },
        (answer) => {
          readAnswer(answer).then(resolve, reject);
        },
      );
      outgoing.on('error', reject);
      outgoing.setTimeout(timeoutMs, () => outgoing.destroy(new Error('timeout')));
      if (body !== undefined) {
        outgoing.setHeader('content-type', 'application/json');
      }
      if (call.token !== undefined) {
        outgoing.setHeader('authorization', `Bearer ${call.token}`);
      }
      outgoing.end(body);
    });
  }
}

/** Splits `ip:port`. */
export function splitAddress(address: string): { readonly host: string; readonly port: number } {
  const colon = address.lastIndexOf(':');
  const host = address.slice(0, colon).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(colon + 1)) };
}

async function readAnswer(answer: IncomingMessage): Promise<unknown> {
  answer.setEncoding('utf8');
  let text = '';
  for await (const chunk of answer) {
    text += String(chunk);
  }
  if ((answer.statusCode ?? 0) > HIGHEST_SUCCESS) {
    throw new Error(`status ${answer.statusCode ?? 0}: ${text}`);
  }
  return text === '' ? undefined : (JSON.parse(text) as unknown);
}

function toFault({ path, address }: HttpCall, cause: unknown): Fault {
  const reason = cause instanceof Error ? cause.message : String(cause);
  return createFault(
    Diagnostics.PeerRequestFailed,
    { path, reason },
    { step: 'standin.http', peer: address },
  );
}
