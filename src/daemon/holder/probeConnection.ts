import pg from 'pg';
import { toTerm } from '../../common/ids/index.js';
import { tryParseLogPosition } from '../../common/logPosition.js';
import { splitAddress } from '../../common/settings/index.js';
import { startTimeout, type TimerService } from '../../common/timer/index.js';
import {
  createBoundSocket,
  PRIMARY_PROBE,
  REPLICA_PROBE,
  type BackendAccess,
  type ProbeAnswer,
} from '../backend/index.js';

/** The fields of the client library that its types leave out. */
interface ClientInside {
  readonly connection: { readonly stream: { destroy(): void } };
}

/** One connection over which an instance's position is read. */
export class ProbeConnection {
  isClosed = false;
  private readonly client: pg.Client;

  constructor(
    address: string,
    access: BackendAccess,
    private readonly timer: TimerService,
  ) {
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

  /** Opens the connection; fails when there is no answer within the time. */
  async open(timeoutMs: number): Promise<void> {
    await this.within(timeoutMs, this.client.connect());
  }

  /** Reads the position; fails when there is no answer within the time. */
  async ask(isPrimary: boolean, timeoutMs: number): Promise<ProbeAnswer> {
    const text = isPrimary ? PRIMARY_PROBE : REPLICA_PROBE;
    const query = this.client.query<unknown[]>({ text, rowMode: 'array' });
    const { rows } = await this.within(timeoutMs, query);
    const [inRecovery, position, term] = rows[0] ?? [];
    const parsed = tryParseLogPosition(String(position));
    if (parsed.isErr()) {
      throw parsed.error;
    }
    return {
      inRecovery: String(inRecovery).startsWith('t'),
      term: toTerm(Number(term)),
      position: parsed.value,
    };
  }

  close(): void {
    this.isClosed = true;
    (this.client as unknown as ClientInside).connection.stream.destroy();
  }

  private async within<Value>(timeoutMs: number, promise: Promise<Value>): Promise<Value> {
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
