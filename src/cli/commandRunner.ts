import { readFileSync } from 'node:fs';
import { err, ok, type Result } from 'neverthrow';
import { Diagnostics } from '../common/diagnostics/index.js';
import type { TimerService } from '../common/timer/index.js';
import { createFailure, formatFailure, type CommandFailure } from './commandFailure.js';
import type { CommandOutcome } from './commandOutcome.js';
import type { CommandReport } from './commandReport.js';
import type { CommandSession } from './commandSession.js';
import { ExitStatus } from './exitStatus.js';
import type { GlobalOptions } from './globalOptions.js';
import { OperatorClient } from './operatorClient.js';
import type { Terminal } from './terminal.js';

const MS_PER_SECOND = 1_000;
const URL_VARIABLE = 'FILBERTPOINT_URL';
const TOKEN_FILE_VARIABLE = 'FILBERTPOINT_TOKEN_FILE';

/** Runs one command, prints what came of it and keeps the exit status. */
export class CommandRunner {
  private exitStatus: ExitStatus | undefined;

  constructor(
    private readonly terminal: Terminal,
    private readonly timer: TimerService,
  ) {}

  /** The status for the process to end with; undefined when no command was run. */
  get status(): ExitStatus | undefined {
    return this.exitStatus;
  }

  /** Runs a command that talks to the operators' HTTP interface. */
  async runRemote(
    options: GlobalOptions,
    command: (session: CommandSession) => CommandOutcome<CommandReport>,
  ): Promise<void> {
    const client = this.createClient(options);
    if (client.isErr()) {
      this.printFailure(client.error, options);
      return;
    }
    const session = { client: client.value, terminal: this.terminal, options };
    this.print(await command(session), options);
  }

  /** Runs a command that reads the operators' HTTP interface only if an address of it is given. */
  async runWithOptionalClient(
    options: GlobalOptions,
    command: (
      terminal: Terminal,
      client: OperatorClient | undefined,
    ) => CommandOutcome<CommandReport>,
  ): Promise<void> {
    const client = this.getUrls(options).length === 0 ? ok(undefined) : this.createClient(options);
    if (client.isErr()) {
      this.printFailure(client.error, options);
      return;
    }
    this.print(await command(this.terminal, client.value), options);
  }

  /** Runs a command that needs nothing but this machine. */
  runLocal(options: GlobalOptions, command: () => Result<CommandReport, CommandFailure>): void {
    this.print(command(), options);
  }

  private print(outcome: Result<CommandReport, CommandFailure>, options: GlobalOptions): void {
    if (outcome.isErr()) {
      this.printFailure(outcome.error, options);
      return;
    }
    this.exitStatus = ExitStatus.Done;
    const { json, text } = outcome.value;
    this.terminal.write(options.json ? `${JSON.stringify(json)}\n` : text);
  }

  private printFailure(failure: CommandFailure, options: GlobalOptions): void {
    this.exitStatus = failure.status;
    if (options.json) {
      this.terminal.write(`${JSON.stringify({ ...failure.json, error: failure.body })}\n`);
    } else {
      this.terminal.writeError(`${formatFailure(failure)}\n`);
    }
  }

  private getUrls(options: GlobalOptions): string[] {
    const given = options.url ?? [this.terminal.environment[URL_VARIABLE] ?? ''];
    return given.flatMap((value) => value.split(',')).filter((value) => value !== '');
  }

  private createClient(options: GlobalOptions): Result<OperatorClient, CommandFailure> {
    const { environment } = this.terminal;
    const urls = this.getUrls(options);
    const wrong = urls.find((url) => !isHttpUrl(url));
    if (urls.length === 0 || wrong !== undefined) {
      const problem =
        wrong === undefined
          ? `Give the operators' HTTP address by --url or ${URL_VARIABLE}.`
          : `"${wrong}" is not an HTTP address.`;
      return err(
        createFailure(ExitStatus.BadInput, Diagnostics.UsageInvalid, { problem }, 'usage'),
      );
    }
    const timeoutMs = options.timeout * MS_PER_SECOND;
    return tryReadToken(options.tokenFile ?? environment[TOKEN_FILE_VARIABLE]).map(
      (token) => new OperatorClient({ urls, token, timeoutMs, timer: this.timer }),
    );
  }
}

function isHttpUrl(url: string): boolean {
  return /^https?:\/\//.test(url) && URL.canParse(url);
}

function tryReadToken(file: string | undefined): Result<string | undefined, CommandFailure> {
  if (file === undefined || file === '') {
    return ok(undefined);
  }
  let token: string | undefined;
  let problem = 'it holds no token';
  try {
    token = readFileSync(file, 'utf8').split('\n')[0]?.trim();
  } catch (cause) {
    problem = cause instanceof Error ? cause.message : String(cause);
  }
  return token === undefined || token === ''
    ? err(
        createFailure(
          ExitStatus.BadInput,
          Diagnostics.FileUnreadable,
          { file, problem },
          'usage.tokenFile',
        ),
      )
    : ok(token);
}
