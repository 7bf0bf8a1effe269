import { createServer, request as httpRequest, type IncomingMessage, type Server } from 'node:http';
import { splitAddress } from '../../src/common/settings/index.js';
import type { TimerService, Unsubscribe } from '../../src/common/timer/index.js';
import type { LineGroup } from './lineGroup.js';
import type { LineInstance } from './lineInstance.js';
import type { ReceivedReport, UsageDuty } from './usageDuty.js';

const CALL_TIMEOUT_MS = 1000;

/** An answer over HTTP; status 0 when none came. */
export interface HttpReply {
  readonly status: number;
  readonly body: string;
}

/** Calls a path of a daemon's control interface. */
export function callControl(
  address: string,
  method: string,
  path: string,
  body: string | Uint8Array = '',
): Promise<HttpReply> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve) => {
    const headers = { 'content-type': 'application/json' };
    const options = { host, port, method, path, agent: false, timeout: CALL_TIMEOUT_MS, headers };
    const request = httpRequest(options, (response) => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => {
        text += chunk;
      });
      response.on('end', () => resolve({ status: response.statusCode ?? 0, body: text }));
      response.on('error', () => resolve({ status: 0, body: '' }));
    });
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve({ status: 0, body: '' }));
    request.end(body);
  });
}

/** The platform's side: takes promotion orders and has the instances send their heartbeats. */
export class LinePlatform {
  /**
   * Time after which an order for an instance is carried out, without an answer; undefined to carry
   * it out and answer at once.
   */
  getDelayMs: (instance: string) => number | undefined = () => undefined;
  /** Takes usage reports; undefined to answer them with status 404. */
  usage: UsageDuty | undefined;
  /** Status with which a usage report is refused instead of taken; undefined for none. */
  getUsageRefusal: () => number | undefined = () => undefined;
  private server: Server | undefined;
  private stopHeartbeats: Unsubscribe | undefined;

  constructor(
    readonly address: string,
    private readonly groups: readonly LineGroup[],
    private readonly controls: readonly string[],
    /** Address that daemons are told for an instance. */
    private readonly getAddress: (instance: LineInstance) => string,
    private readonly timer: TimerService,
  ) {}

  async start(heartbeatMs: number): Promise<void> {
    const { host, port } = splitAddress(this.address);
    const server = createServer((request, response) => {
      let text = '';
      request.on('data', (chunk: Buffer) => {
        text += chunk.toString();
      });
      request.on('end', () => {
        if (request.url === '/usage') {
          response.statusCode = this.takeReport(request, text);
          response.end();
          return;
        }
        const { service, id } = JSON.parse(text) as { service: string; id: string };
        const group = this.groups.find(({ options }) => options.service === service);
        const token = Number(request.headers['fence-token']);
        const delayMs = this.getDelayMs(id);
        if (delayMs !== undefined) {
          this.timer.once(delayMs, () => group?.promote(id, token));
          return;
        }
        response.statusCode = group?.promote(id, token) ?? 404;
        response.end();
      });
    });
    this.server = server;
    await new Promise<void>((resolve) => server.listen(port, host, resolve));
    this.stopHeartbeats = this.timer.subscribe(heartbeatMs, () => this.beat());
    this.beat();
  }

  async stop(): Promise<void> {
    this.stopHeartbeats?.();
    const { server } = this;
    server?.closeAllConnections();
    await new Promise<void>((resolve) => {
      if (server === undefined) {
        resolve();
      } else {
        server.close(() => resolve());
      }
    });
  }

  /** Has an instance send a heartbeat at once, as after a change of its role. */
  async announce(instance: LineInstance): Promise<void> {
    const { group, id, domain, role, born } = instance;
    instance.sequence += 1;
    const body = JSON.stringify({
      service: group.options.service,
      addr: this.getAddress(instance),
      zone: domain,
      version: 'v1',
      slots: group.options.slots,
      state: 'ready',
      warmupLeftMs: 0,
      dbRole: role,
      seq: instance.sequence,
      born,
    });
    const first = instance.sequence % this.controls.length;
    for (let index = 0; index < this.controls.length; index += 1) {
      const control = this.controls[(first + index) % this.controls.length] ?? '';
      const path = `/filbertpoint/Instances.Heartbeat/${id}`;
      const { status } = await callControl(control, 'POST', path, body);
      if (status === 200) {
        return;
      }
    }
  }

  private takeReport({ headers }: IncomingMessage, text: string): number {
    const refusal = this.getUsageRefusal();
    if (this.usage === undefined || refusal !== undefined) {
      return refusal ?? 404;
    }
    const holder = String(headers['lease-holder']);
    const token = Number(headers['fence-token']);
    const body = JSON.parse(text) as Pick<ReceivedReport, 'windowId' | 'counts'>;
    const report = { ...body, holder, token };
    this.usage.call(report, this.timer.now());
    return this.usage.carryOut(report, this.timer.now());
  }

  private beat(): void {
    for (const instance of this.groups.flatMap(({ instances }) => instances)) {
      if (instance.isRunning) {
        void this.announce(instance);
      }
    }
  }
}
