import pg from 'pg';
import { Logger } from '../../src/common/logging/index.js';
import { SystemTimerService } from '../../src/common/timer/index.js';
import {
  createStandinInstance,
  type StandinInstance,
  type StandinSettingsInput,
} from '../index.js';

const LETTERS = ['a', 'b', 'c', 'd', 'e'];
const WAIT_STEP_MS = 5;
const WAIT_LIMIT_MS = 10_000;

/** A group of instances in this process on ports of the system's choice. */
export class TestGroup {
  readonly instances: StandinInstance[] = [];
  readonly logLines: string[] = [];
  private readonly timer = new SystemTimerService();
  private readonly clients: pg.Client[] = [];

  constructor(private readonly settings: Partial<StandinSettingsInput> = {}) {}

  /** Starts a primary and its replicas. */
  async start(count: number): Promise<this> {
    for (const letter of LETTERS.slice(0, count)) {
      const instance = this.create(letter);
      instance.setPeers(this.instances.map(({ platform }) => platform));
      this.instances.push(instance);
      await instance.start();
    }
    this.connectPeers();
    await this.until(() => this.instances.every(({ isServing }) => isServing));
    return this;
  }

  /** Starts an empty instance in the place of a stopped one. */
  async restart(index: number): Promise<StandinInstance> {
    await this.get(index).stop();
    const instance = this.create(LETTERS[index] ?? '');
    this.instances[index] = instance;
    instance.setPeers(this.platformsBut(index));
    await instance.start();
    this.connectPeers();
    return instance;
  }

  /** An instance by its number. */
  get(index: number): StandinInstance {
    const instance = this.instances[index];
    if (instance === undefined) {
      throw new RangeError(`no instance ${index}`);
    }
    return instance;
  }

  /** Connects a client, which is ended with the group. */
  async connect(index = 0, config: pg.ClientConfig = {}): Promise<pg.Client> {
    const client = this.createClient(index, config);
    await client.connect();
    return client;
  }

  /** Creates a client that is not connected yet. */
  createClient(index = 0, config: pg.ClientConfig = {}): pg.Client {
    const [host = '', port = ''] = this.get(index).address.split(':');
    const client = new pg.Client({ host, port: Number(port), user: 'u', database: 'd', ...config });
    client.on('error', () => undefined);
    this.clients.push(client);
    return client;
  }

  /** Waits until a condition holds. */
  async until(condition: () => boolean): Promise<void> {
    const endMs = this.timer.now() + WAIT_LIMIT_MS;
    while (!condition()) {
      if (this.timer.now() > endMs) {
        throw new Error(`still not so after ${WAIT_LIMIT_MS} ms: ${condition.toString()}`);
      }
      await new Promise<void>((resolve) => this.timer.once(WAIT_STEP_MS, () => resolve()));
    }
  }

  /** Calls an instance's HTTP interface. */
  async http(index: number, path: string, body?: unknown): Promise<Response> {
    return fetch(`http://${this.get(index).platform}${path}`, {
      method: body === undefined ? 'GET' : 'POST',
      ...(body === undefined
        ? {}
        : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
    });
  }

  /** Ends all clients and instances. */
  async stop(): Promise<void> {
    await Promise.all(this.instances.map((instance) => instance.stop()));
    await Promise.allSettled(this.clients.map((client) => client.end()));
  }

  private create(letter: string): StandinInstance {
    const settings: StandinSettingsInput = {
      group: 'ledger-1',
      instance: `ledger-1-${letter}`,
      domain: `domain-${letter}`,
      listen: '127.0.0.1:0',
      http: '127.0.0.1:0',
      role: letter === 'a' ? 'primary' : 'replica',
      peer_poll_ms: 20,
      ...this.settings,
    };
    const logger = new Logger('info', {}, (line) => this.logLines.push(line));
    return createStandinInstance(settings, this.timer, logger);
  }

  private connectPeers(): void {
    this.instances.forEach((instance, index) => instance.setPeers(this.platformsBut(index)));
  }

  private platformsBut(index: number): string[] {
    return this.instances.filter((_, other) => other !== index).map(({ platform }) => platform);
  }
}

/** The SQLSTATE with which a promise is refused; `none` where it is not. */
export async function sqlStateOf(promise: Promise<unknown>): Promise<string> {
  try {
    await promise;
    return 'none';
  } catch (cause) {
    const code = (cause as { code?: unknown }).code;
    return typeof code === 'string' ? code : String(cause);
  }
}
