import { createServer, type AddressInfo } from 'node:net';

/** Finds TCP ports of an IP address that are free now. */
export async function findFreePorts(ip: string, count: number): Promise<readonly number[]> {
  const servers = await Promise.all(Array.from({ length: count }, () => listen(ip)));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

async function listen(ip: string) {
  const server = createServer();
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, ip, resolve);
  });
  return server;
}
