import yargs, { type Argv } from 'yargs';
import { Diagnostics } from '../common/diagnostics/index.js';
import type { TimerService } from '../common/timer/index.js';
import { createFailure, formatFailure } from './commandFailure.js';
import { CommandRunner } from './commandRunner.js';
import { COMMAND_GROUPS } from './commands/index.js';
import type { ConfigurationFormat } from './configurationFormat.js';
import { ExitStatus } from './exitStatus.js';
import type { GlobalOptions } from './globalOptions.js';
import type { Terminal } from './terminal.js';

const PROGRAM = 'filbertpoint';
const DEFAULT_TIMEOUT_SECONDS = 15;
const MAXIMUM_TIMEOUT_SECONDS = 3_600;
const HELP_COLUMNS = 100;
const COMMAND_NEEDED = 'Give a command.';
const EPILOGUE = [
  'Exit status: 0 done; 1 refused; 2 usage or bad input; 3 unreachable or outcome unknown.',
  'FILBERTPOINT_URL and FILBERTPOINT_TOKEN_FILE stand in for --url and --token-file.',
].join('\n');

/**
 * Runs the program and gives its exit status. `formats` are those of configurations that are not
 * written as tickets.
 */
export async function runProgram(
  args: readonly string[],
  terminal: Terminal,
  timer: TimerService,
  formats: readonly ConfigurationFormat[] = [],
): Promise<ExitStatus> {
  const runner = new CommandRunner(terminal, timer);
  let program = createProgram();
  for (const addCommands of COMMAND_GROUPS) {
    program = addCommands(program, runner, formats);
  }
  let help = '';
  try {
    await program.parseAsync([...args], {}, (_error, _parsed, output) => {
      help = output;
    });
    if (runner.status !== undefined) {
      return runner.status;
    }
    if (help === '') {
      throw new Error(COMMAND_NEEDED);
    }
    terminal.write(`${help}\n`);
    return ExitStatus.Done;
  } catch (cause) {
    return printUsageProblem(cause, args, terminal);
  }
}

function createProgram(): Argv<GlobalOptions> {
  return yargs([])
    .scriptName(PROGRAM)
    .usage("$0 <command>\n\nThe operators' tool of filbertpoint.")
    .option('url', {
      type: 'string',
      array: true,
      nargs: 1,
      describe: "Operators' HTTP address; several are tried in turn.",
    })
    .option('token-file', { type: 'string', describe: 'File with the bearer token.' })
    .option('json', { type: 'boolean', default: false, describe: 'Print JSON.' })
    .option('timeout', {
      type: 'number',
      default: DEFAULT_TIMEOUT_SECONDS,
      describe: 'Bound on each request with its retries, in seconds.',
      coerce: checkTimeout,
    })
    .strict()
    .demandCommand(1, COMMAND_NEEDED)
    .completion('completion', 'Print a script for completion in bash or zsh.')
    .recommendCommands()
    .exitProcess(false)
    .fail((message, cause) => {
      throw (cause as Error | undefined) ?? new Error(message);
    })
    .wrap(HELP_COLUMNS)
    .epilogue(EPILOGUE)
    .version(false)
    .help() as unknown as Argv<GlobalOptions>;
}

function checkTimeout(seconds: number): number {
  if (!(seconds > 0 && seconds <= MAXIMUM_TIMEOUT_SECONDS)) {
    throw new Error(`--timeout must be above 0 and at most ${MAXIMUM_TIMEOUT_SECONDS}.`);
  }
  return seconds;
}

function printUsageProblem(
  cause: unknown,
  args: readonly string[],
  terminal: Terminal,
): ExitStatus {
  const problem = cause instanceof Error ? cause.message : String(cause);
  const status = ExitStatus.BadInput;
  const failure = createFailure(status, Diagnostics.UsageInvalid, { problem }, 'usage');
  if (args.includes('--json')) {
    terminal.write(`${JSON.stringify({ error: failure.body })}\n`);
  } else {
    terminal.writeError(`${formatFailure(failure)}\nTry ${PROGRAM} --help.\n`);
  }
  return status;
}
