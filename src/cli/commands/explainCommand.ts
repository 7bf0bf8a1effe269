import { readFileSync } from 'node:fs';
import { err, ok, type Result } from 'neverthrow';
import type { Argv } from 'yargs';
import { Diagnostics } from '../../common/diagnostics/index.js';
import { createFailure, type CommandFailure } from '../commandFailure.js';
import type { CommandReport } from '../commandReport.js';
import type { CommandRunner } from '../commandRunner.js';
import { ExitStatus } from '../exitStatus.js';
import { explainRequest, formatExplanation, type LogText } from '../explanation.js';
import type { GlobalOptions } from '../globalOptions.js';

/** File descriptor of standard input, which stands for `-`. */
const STANDARD_INPUT = 0;
const SHOWN_UNREAD_LINES = 5;

/** Adds `explain`. */
export function addExplainCommand(
  program: Argv<GlobalOptions>,
  runner: CommandRunner,
): Argv<GlobalOptions> {
  return program.command(
    'explain <request> [files..]',
    "Tell one request's way from the logs of several hosts.",
    (command) =>
      command
        .positional('request', {
          type: 'string',
          demandOption: true,
          describe: "The caller's id of the request, or that of an attempt.",
        })
        .positional('files', {
          type: 'string',
          array: true,
          default: [] as string[],
          describe: 'Logs; standard input when none is given.',
        })
        .example('$0 explain 5c0e7a21d94b36f8 edge-*.log', 'why a request was refused'),
    (args) => runner.runLocal(args, () => explain(args.request, args.files)),
  );
}

function explain(request: string, files: readonly string[]): Result<CommandReport, CommandFailure> {
  const logs: LogText[] = [];
  for (const file of files.length === 0 ? [STANDARD_INPUT] : files) {
    const name = file === STANDARD_INPUT ? 'standard input' : String(file);
    try {
      logs.push({ file: name, text: readFileSync(file, 'utf8') });
    } catch (cause) {
      const problem = cause instanceof Error ? cause.message : String(cause);
      return err(fail(Diagnostics.FileUnreadable, { file: name, problem }, 'explain.read'));
    }
  }
  const explanation = explainRequest(request, logs);
  const { requestLines, unread, lines } = explanation;
  const unreadText =
    unread.length === 0
      ? ''
      : `${unread.length} lines were not understood: ${unread
          .slice(0, SHOWN_UNREAD_LINES)
          .map(({ file, number }) => `${file}:${number}`)
          .join(', ')}${unread.length > SHOWN_UNREAD_LINES ? ', …' : ''}.\n`;
  if (requestLines === 0) {
    const subject = `Request ${request}`;
    const failure = fail(Diagnostics.NotFound, { subject }, 'explain.find');
    return err({ ...failure, lines: unreadText === '' ? [] : [unreadText.trimEnd()] });
  }
  const json = {
    request,
    lines: lines.map(({ fields }) => Object.fromEntries(fields)),
    unread,
  };
  return ok({ json, text: formatExplanation(explanation, request) + unreadText });
}

function fail(
  diagnostic: Parameters<typeof createFailure>[1],
  values: Parameters<typeof createFailure>[2],
  step: string,
): CommandFailure {
  return createFailure(ExitStatus.BadInput, diagnostic, values, step);
}
