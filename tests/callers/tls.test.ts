import { readFileSync } from 'node:fs';
import { connect as connectPlain } from 'node:net';
import { connect as connectTls } from 'node:tls';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { toHostId, toIncarnation } from '../../src/common/ids/index.js';
import { Logger } from '../../src/common/logging/index.js';
import { Metrics } from '../../src/common/metrics/index.js';
import { Mesh, type MeshTls } from '../../src/daemon/mesh/index.js';
import { CallerFleet, getError } from './callerFleet.js';

const TLS_REQUEST = Buffer.from([0, 0, 0, 8, 4, 210, 22, 47]);
const MAXIMUM_FRAME_BYTES = 65_536;
const fleetTls = readTls('fleet');
const callers = new CallerFleet(2, { files: { callerTls: fleetTls, meshTls: fleetTls } });

beforeAll(() => callers.start());
afterAll(() => callers.stop());

function readTls(name: string): MeshTls {
  const read = (part: string) =>
    readFileSync(new URL(`./tls/${name}-${part}.pem`, import.meta.url), 'utf8');
  return { certificate: read('certificate'), key: read('key'), authority: read('authority') };
}

async function isAccepted(tls: MeshTls | undefined): Promise<boolean> {
  const { fleet } = callers;
  const logger = new Logger('error', { host: 'stranger' });
  const mesh = new Mesh(
    {
      host: toHostId('stranger'),
      incarnation: toIncarnation('stranger-1'),
      listen: '127.0.0.99:0',
      maximumFrameBytes: MAXIMUM_FRAME_BYTES,
      ...(tls === undefined ? {} : { tls }),
    },
    fleet.timer,
    logger,
    new Metrics().meshTraffic,
  );
  await mesh.listen();
  const link = mesh.getLink(fleet.getDaemon('entry-1').settings.mesh.listen);
  await fleet.waitFor(() => link.isClosed || link.peer !== undefined);
  const accepted = link.peer !== undefined;
  await mesh.close();
  return accepted;
}

test('callers are served over TLS, checked against the authority', async () => {
  const ssl = { ca: fleetTls.authority };
  for (const host of ['entry-1', 'entry-2']) {
    const client = await callers.connect(host, 'mill', { ssl });
    await client.query('INSERT INTO bookings VALUES ($1, $2)', [host === 'entry-1' ? 1 : 2, host]);
    expect((await client.query('SELECT 1 AS one')).rows).toEqual([{ one: 1 }]);
  }
  const wrong = getError(
    callers.connect('entry-1', 'mill', { ssl: { ca: readTls('other').authority } }),
  );
  expect((await wrong).code).toMatch(/UNABLE_TO_VERIFY|SELF_SIGNED/);
});

test('plain callers are refused where TLS is set', async () => {
  await expect(callers.connect('entry-1', 'mill', { ssl: false })).rejects.toThrow('SSL');
});

test('bytes injected behind the request for TLS, and junk in its place, end that connection', async () => {
  const { plan, daemon } = callers.fleet.getDaemon('entry-1');
  for (const rest of [Buffer.from('injected'), undefined]) {
    await new Promise<void>((resolve) => {
      const socket = connectPlain({ host: plan.ip, port: daemon.callerPort });
      socket.on('error', () => undefined);
      socket.on('close', () => resolve());
      socket.on('data', () => socket.write('this is no TLS'));
      socket.write(rest === undefined ? TLS_REQUEST : Buffer.concat([TLS_REQUEST, rest]));
    });
  }
  const client = await callers.connect('entry-1', 'mill', { ssl: { ca: fleetTls.authority } });
  expect((await client.query('SELECT 1 AS one')).rows).toEqual([{ one: 1 }]);
});

test('a caller that half-closes after TLS is let go', async () => {
  const { plan, daemon } = callers.fleet.getDaemon('entry-1');
  const raw = connectPlain({ host: plan.ip, port: daemon.callerPort });
  raw.write(TLS_REQUEST);
  await new Promise((resolve) => raw.once('data', resolve));
  const secure = connectTls({ socket: raw, ca: fleetTls.authority });
  await new Promise((resolve) => secure.once('secureConnect', resolve));
  const closed = new Promise((resolve) => secure.once('close', resolve));
  secure.end();
  await closed;
});

test('the mesh takes daemons of its own authority only', async () => {
  expect(await isAccepted(fleetTls)).toBe(true);
  expect(await isAccepted(readTls('other'))).toBe(false);
  expect(await isAccepted({ ...readTls('other'), authority: fleetTls.authority })).toBe(false);
  expect(await isAccepted(undefined)).toBe(false);
});
