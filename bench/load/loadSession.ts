import type { EventEmitter } from 'node:events';
import pg from 'pg';
import type { TimerService } from '../../src/common/timer/index.js';
import { classifyFailure, RequestStage, type LoadFailure } from './loadOutcome.js';
import { LoadViolation, type LoadStatement, type SessionMemory } from './loadStatement.js';

const RECONNECT_DELAY_MS = 50;
const TOKEN_PARAMETER = 'filbertpoint.session';
const TOKEN_TEXT = /^[\w./+=:-]+$/;

/** What a session needs. */
export interface LoadSessionParts {
  readonly account: string;
  readonly key: string | undefined;
  readonly targets: readonly string[];
  readonly database: string;
  readonly timer: TimerService;
  readonly roamAfter: number | undefined;
  readonly requestTimeoutMs: number;
  /** The number of the session in the load; decides its first target. */
  readonly number: number;
}

/** One request's end: nothing where it was acknowledged. */
export type RequestEnd = LoadFailure | LoadViolation | undefined;

interface ParameterStatus {
  readonly parameterName: string;
  readonly parameterValue: string;
}

/** One caller: a connection that is made anew when it fails or when the caller roams. */
export class LoadSession {
  readonly memory: SessionMemory;
  private client: pg.Client | undefined;
  private connecting: pg.Client | undefined;
  private token: string | undefined;
  private target: number;
  private requests = 0;
  private hasEnded = false;

  constructor(private readonly parts: LoadSessionParts) {
    this.target = parts.number;
    this.memory = { id: `${parts.account}/${parts.number}`, acknowledged: 0, tried: 0 };
  }

  /** Connects where there is no connection; the error of a failure is returned. */
  async connect(): Promise<LoadFailure | undefined> {
    if (this.client !== undefined) {
      return undefined;
    }
    const client = this.createClient();
    this.connecting = client;
    try {
      await client.connect();
      await this.presentToken(client);
      this.client = client;
      return undefined;
    } catch (cause) {
      this.target += 1;
      client.end().catch(() => undefined);
      return classifyFailure(cause, RequestStage.Connecting);
    } finally {
      this.connecting = undefined;
    }
  }

  /** Runs one request. */
  async run(statement: LoadStatement, id: string): Promise<RequestEnd> {
    await this.roam();
    const failure = await this.connect();
    const { client } = this;
    if (failure !== undefined || client === undefined) {
      await this.pause();
      return failure;
    }
    let stage = RequestStage.Preparing;
    const sending = (): void => {
      stage = RequestStage.Sending;
    };
    const { account } = this.parts;
    try {
      await statement.run({ client, account, id, session: this.memory, sending });
      return undefined;
    } catch (cause) {
      return cause instanceof LoadViolation ? cause : await this.fail(cause, stage, client);
    }
  }

  /** Ends the connection. */
  async end(): Promise<void> {
    this.hasEnded = true;
    await this.drop();
  }

  /** Drops the connection under a request that is under way. */
  abandon(): void {
    this.hasEnded = true;
    for (const client of [this.client, this.connecting]) {
      if (client !== undefined) {
        getConnection(client).stream.destroy();
      }
    }
  }

  private createClient(): pg.Client {
    const { targets, database, account, key, requestTimeoutMs } = this.parts;
    const address = targets[this.target % targets.length] ?? '';
    const colon = address.lastIndexOf(':');
    const client = new pg.Client({
      host: address.slice(0, colon),
      port: Number(address.slice(colon + 1)),
      user: account,
      password: key ?? '',
      database,
      query_timeout: requestTimeoutMs,
      connectionTimeoutMillis: requestTimeoutMs,
    });
    client.on('error', () => {
      this.client = this.client === client ? undefined : this.client;
    });
    getConnection(client).on('parameterStatus', (status: ParameterStatus) => {
      if (status.parameterName === TOKEN_PARAMETER) {
        this.token = status.parameterValue;
      }
    });
    return client;
  }

  private async presentToken(client: pg.Client): Promise<void> {
    const { token } = this;
    if (token !== undefined && TOKEN_TEXT.test(token)) {
      await client.query(`SET ${TOKEN_PARAMETER} = '${token}'`);
    }
  }

  private async roam(): Promise<void> {
    const { roamAfter } = this.parts;
    this.requests += 1;
    if (roamAfter !== undefined && this.requests % roamAfter === 0) {
      await this.drop();
      this.target += 1;
    }
  }

  private async fail(cause: unknown, stage: RequestStage, client: pg.Client): Promise<LoadFailure> {
    const failure = classifyFailure(cause, stage);
    if (failure.isFatal) {
      await this.drop();
      this.target += 1;
    } else {
      await client.query('ROLLBACK').catch(() => this.drop());
    }
    return failure;
  }

  private async drop(): Promise<void> {
    const { client } = this;
    this.client = undefined;
    await client?.end().catch(() => undefined);
  }

  private pause(): Promise<void> {
    if (this.hasEnded) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      this.parts.timer.once(RECONNECT_DELAY_MS, () => resolve());
    });
  }
}

interface ClientConnection extends EventEmitter {
  readonly stream: { destroy(): void };
}

function getConnection(client: pg.Client): ClientConnection {
  return (client as unknown as { readonly connection: ClientConnection }).connection;
}
