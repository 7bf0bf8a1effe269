import { Logger } from '../../src/common/logging/index.js';
import { Metrics } from '../../src/common/metrics/index.js';
import { ManualTimerService } from '../../src/common/timer/index.js';
import {
  OperatorServer,
  Readiness,
  type BearerTokens,
  type ReadinessReport,
} from '../../src/daemon/operators/index.js';
import { tryParseTicket } from '../../src/decisions/tickets/index.js';
import { MemoryControlClient } from './memoryControlClient.js';

/** A readiness that tests set. */
export class SettableReadiness extends Readiness {
  report: ReadinessReport = { hasLease: true, hasCurrentConfiguration: true, isInService: true };

  override read(): ReadinessReport {
    return this.report;
  }
}

/** An operators' HTTP interface on loopback over a control client in memory. */
export class OperatorHost {
  readonly readiness = new SettableReadiness();
  readonly metrics = new Metrics();
  readonly lines: string[] = [];
  readonly timer = new ManualTimerService();
  url = '';
  private readonly server: OperatorServer;

  constructor(
    readonly control: MemoryControlClient,
    tokens: { operatorTokens?: BearerTokens; announcerTokens?: BearerTokens } = {},
    requestTimeoutMs = 10_000,
  ) {
    this.server = new OperatorServer({
      listen: '127.0.0.1:0',
      control,
      readiness: this.readiness,
      metrics: this.metrics,
      timer: this.timer,
      logger: new Logger('info', { host: 'a1' }, (line) => this.lines.push(line)),
      parseTicket: tryParseTicket,
      ...tokens,
      requestTimeoutMs,
    });
  }

  /** Starts it on a port that the system chooses. */
  async start(): Promise<this> {
    const address = (await this.server.start())._unsafeUnwrap();
    this.url = `http://${address.host}:${address.port}`;
    return this;
  }

  /** Stops it. */
  close(): Promise<void> {
    return this.server.close();
  }
}
