import pg from 'pg';
import { createFault, Diagnostics } from '../../common/diagnostics/index.js';
import { splitAddress } from '../../common/settings/index.js';
import { startTimeout, type TimerService } from '../../common/timer/index.js';
import { BackendProbe, type ProbeAnswer, type ProbeDepth } from '../backend/index.js';
import { createBoundSocket } from './boundSocket.js';
import { PRIMARY_PROBE, REPLICA_PROBE } from './positionQuery.js';
import type { PostgresAccess } from './postgresAccess.js';
import { toProbeAnswer } from './readPosition.js';

/** Fields of the client that the library's types omit. */
interface ClientInternals {
  readonly connection: { readonly stream: { destroy(): void } };
}

/** Queries an instance's state over a connection of the client library. */
export class PostgresProbe extends BackendProbe {
  private readonly client: pg.Client;

  constructor(
    address: string,
    access: PostgresAccess,
    private readonly timer: TimerService,
  ) {
    super();
    const { host, port } = splitAddress(address);
    this.client = new pg.Client({
      host,
      port,
      user: access.user,
      password: access.password,
      database: access.database,
      stream: () => createBoundSocket(access.localIp),
    });
    this.client.on('error', () => this.close());
    this.client.once('end', () => this.close());
  }

  override async open(timeoutMs: number): Promise<boolean> {
    await this.runWithTimeout(timeoutMs, this.client.connect());
    return true;
  }

  override async queryState(
    _depth: ProbeDepth,
    isPrimary: boolean,
    timeoutMs: number,
  ): Promise<ProbeAnswer> {
    const text = isPrimary ? PRIMARY_PROBE : REPLICA_PROBE;
    const query = this.client.query<unknown[]>({ text, rowMode: 'array' });
    const { rows } = await this.runWithTimeout(timeoutMs, query);
    const answer = toProbeAnswer(rows[0] ?? []);
    if (answer === undefined) {
      throw createFault(Diagnostics.LogPositionMalformed, { text }, { step: 'probe.ask' });
    }
    return answer;
  }

  override close(): void {
    (this.client as unknown as ClientInternals).connection.stream.destroy();
  }

  private async runWithTimeout<Value>(timeoutMs: number, promise: Promise<Value>): Promise<Value> {
    const cancel = startTimeout(this.timer, timeoutMs, () => this.close());
    try {
      return await promise;
    } catch (cause) {
      this.close();
      throw cause;
    } finally {
      cancel();
    }
  }
}
