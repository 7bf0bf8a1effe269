import { connect } from 'node:net';
import { afterEach, beforeEach, expect, test } from 'vitest';
import { findFreePorts } from '../../bench/fleet/freePorts.js';
import { ControlFront, ReadinessFront } from '../../platform/http/controlFront.js';
import { Logger } from '../../src/common/logging/index.js';
import { SystemTimerService } from '../../src/common/timer/index.js';
import type { DaemonFrontend } from '../../src/daemon/daemonInterfaces.js';
import { MemoryControlClient } from '../support/memoryControlClient.js';
import { OperatorHost, SettableReadiness } from '../support/operatorHost.js';

/** Time for which nothing is read while requests arrive. */
const HELD_MS = 100;
const CONFIGURATION = '{"version":3,"routes":[],"services":[]}';
const ORDER = createRequest('POST', '/filbertpoint/Config.Replace', CONFIGURATION);
const PROBE = createRequest('GET', '/filbertpoint/readyz');
const HEALTH = createRequest('GET', '/healthz');

const timer = new SystemTimerService();
const logger = new Logger('error', {}, () => undefined);
let control: MemoryControlClient;
let fronts: readonly {
  readonly port: number;
  readonly request: string;
  readonly stop: () => Promise<void>;
}[];

beforeEach(async () => {
  control = new MemoryControlClient();
  const readiness = new SettableReadiness();
  const [first = 0, second = 0] = await findFreePorts('127.0.0.1', 2);
  const listen = (port: number) => `127.0.0.1:${port}`;
  const order = new ControlFront({ listen: listen(first), control, readiness, logger, timer });
  const probe = new ReadinessFront(listen(second), readiness, timer, logger);
  const host = await new OperatorHost(control).start();
  await Promise.all([order, probe].map((front: DaemonFrontend) => front.start()));
  fronts = [
    { port: first, request: ORDER, stop: () => order.stop() },
    { port: second, request: PROBE, stop: () => probe.stop() },
    { port: Number(new URL(host.url).port), request: HEALTH, stop: () => host.close() },
  ];
});
afterEach(() => Promise.all(fronts.map((front) => front.stop())));

function createRequest(method: string, path: string, body = ''): string {
  const head = `${method} ${path} HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\n`;
  return `${head}Content-Length: ${body.length}\r\n\r\n${body}`;
}

function holdLoop(): void {
  const endMs = timer.now() + HELD_MS;
  while (timer.now() < endMs);
}

/** A connection of a caller, and what it is answered until its end. */
class Caller {
  text = '';
  readonly socket;
  readonly ended: Promise<string>;

  constructor(port: number) {
    this.socket = connect(port, '127.0.0.1');
    this.ended = new Promise((resolve) => {
      this.socket.on('data', (chunk) => {
        this.text += chunk.toString();
      });
      this.socket.on('error', (error) => {
        this.text += error.message;
      });
      this.socket.on('close', () => resolve(this.text));
    });
  }
}

test('a request that was unread on a kept connection when its server stopped is answered', async () => {
  for (const { port, request, stop } of fronts) {
    const caller = new Caller(port);
    caller.socket.write(request);
    await expect.poll(() => caller.text).toMatch(/^HTTP\/1.1 200 /);
    caller.text = '';
    caller.socket.write(request);
    holdLoop();
    const stopped = stop();
    expect(await caller.ended).toMatch(/^HTTP\/1.1 \d\d\d /);
    await stopped;
  }
});

test('a request on a connection that was not accepted when its server stopped is answered', async () => {
  for (const { port, request, stop } of fronts) {
    const caller = new Caller(port);
    caller.socket.write(request);
    await new Promise((resolve) => process.nextTick(resolve));
    holdLoop();
    const stopped = stop();
    expect(await caller.ended).toMatch(/^HTTP\/1.1 \d\d\d /);
    await stopped;
  }
});

test('an order under way when its server stopped is answered', async () => {
  let open: () => void = () => undefined;
  control.gate = new Promise((resolve) => {
    open = resolve;
  });
  const [front] = fronts;
  const caller = new Caller(front?.port ?? 0);
  caller.socket.write(ORDER);
  await expect.poll(() => control.submitted.length).toBe(1);
  const stopped = front?.stop();
  timer.once(HELD_MS, open);
  expect(await caller.ended).toMatch(/^HTTP\/1.1 200 /);
  await stopped;
});
