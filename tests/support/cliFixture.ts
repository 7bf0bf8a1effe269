import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach } from 'vitest';
import type { ExitStatus } from '../../src/cli/exitStatus.js';
import { runProgram } from '../../src/cli/program.js';
import { toAccountId, toTicketNumber } from '../../src/common/ids/index.js';
import { SystemTimerService } from '../../src/common/timer/index.js';
import { BearerTokens } from '../../src/daemon/operators/index.js';
import { SubjectKind, type AccountState } from '../../src/decisions/tickets/index.js';
import { MemoryControlClient } from './memoryControlClient.js';
import { MemoryTerminal } from './memoryTerminal.js';
import { OperatorHost } from './operatorHost.js';

const TOKEN = 'secret';

/** The client account that is in force under ticket 8 when a test begins. */
export const ACCOUNT: AccountState = {
  kind: SubjectKind.Account,
  account: toAccountId('mill-7'),
  rate: 50,
  burst: 100,
  salt: 'c2FsdA==',
  iterations: 4096,
  keys: [{ id: 'phone', storedKey: 'AAAA', serverKey: 'BBBB' }],
  maximumOpenTransactions: 4,
};

/** What one run of the program gave. */
export interface ProgramRun {
  readonly status: ExitStatus;
  readonly output: string;
  readonly errors: string;
}

/** Runs the command line against an operators' HTTP interface on loopback. */
export class CliFixture {
  control = new MemoryControlClient();
  host = new OperatorHost(this.control);
  folder = '';

  /** Address of the HTTP interface. */
  get url(): string {
    return this.host.url;
  }

  /** Starts the HTTP interface with account mill-7 in force. */
  async open(): Promise<void> {
    this.control = new MemoryControlClient();
    this.host = new OperatorHost(this.control, { operatorTokens: new BearerTokens([TOKEN]) });
    await this.host.start();
    this.folder = mkdtempSync(join(tmpdir(), 'filbertpoint-cli-'));
    writeFileSync(join(this.folder, 'token'), `${TOKEN}\n`);
    this.control.submitTicket({ number: toTicketNumber(8), subjects: [ACCOUNT] });
    this.control.submitted.length = 0;
  }

  /** Stops it and removes what was written. */
  async close(): Promise<void> {
    await this.host.close();
    rmSync(this.folder, { recursive: true });
  }

  /** Runs one command line, split at spaces. */
  async run(line: string, input = '', url = this.url): Promise<ProgramRun> {
    const environment = {
      FILBERTPOINT_URL: url,
      FILBERTPOINT_TOKEN_FILE: join(this.folder, 'token'),
    };
    const terminal = new MemoryTerminal(environment, input);
    const args = line.split(' ').filter((word) => word !== '');
    const status = await runProgram(args, terminal, new SystemTimerService());
    return { status, output: terminal.output, errors: terminal.errors };
  }

  /** Runs one command line with `--json` and parses its output. */
  async runJson(line: string, input = '', url = this.url): Promise<unknown> {
    const { output } = await this.run(`${line} --json`, input, url);
    return JSON.parse(output) as unknown;
  }
}

/** Opens a fixture before each test of a file and closes it after. */
export function useCliFixture(): CliFixture {
  const fixture = new CliFixture();
  beforeEach(() => fixture.open());
  afterEach(() => fixture.close());
  return fixture;
}
