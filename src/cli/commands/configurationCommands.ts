import { err, errAsync, ok, okAsync, type Result } from 'neverthrow';
import type { Argv } from 'yargs';
import { Diagnostics } from '../../common/diagnostics/index.js';
import { checkConfiguration, Severity } from '../../decisions/configuration/index.js';
import { createFailure, type CommandFailure } from '../commandFailure.js';
import type { CommandOutcome } from '../commandOutcome.js';
import type { CommandReport } from '../commandReport.js';
import type { CommandRunner } from '../commandRunner.js';
import { readConfigurationFile, type ConfigurationFile } from '../configurationFile.js';
import type { ConfigurationFormat } from '../configurationFormat.js';
import { formatFindings, summarize, type ConfigurationReport } from '../configurationReport.js';
import { ExitStatus } from '../exitStatus.js';
import type { GlobalOptions } from '../globalOptions.js';
import type { OperatorClient } from '../operatorClient.js';
import type { Terminal } from '../terminal.js';
import { createFileFailure, formatFileName, isStandardInput } from '../ticketFile.js';
import { readVersionFile, readVersionInForce, type VersionInForce } from '../versionInForce.js';

const INVALID_NOTE = 'Entries were not compared with each other: the file is not valid.';
const PARTIAL_NOTE =
  'Unknown and unused entries were not looked for: the file has no complete configuration, and the version in force is not known.';

/** Adds `config check`. */
export function addConfigurationCommands(
  program: Argv<GlobalOptions>,
  runner: CommandRunner,
  formats: readonly ConfigurationFormat[],
): Argv<GlobalOptions> {
  return program.command('config', 'Check a configuration before it is submitted.', (group) =>
    group
      .command(
        'check <file>',
        'Name the errors and probable mistakes of a ticket file, or of standard input with -, and what it changes.',
        (command) =>
          command.positional('file', { type: 'string', demandOption: true }).option('against', {
            type: 'string',
            nargs: 1,
            describe: 'Ticket file in force; by default read from the control hosts.',
          }),
        (args) => {
          const { file, against } = args;
          // With --against nothing is read, and an address from the environment does not matter.
          const options = against === undefined ? args : { ...args, url: [] };
          return runner.runWithOptionalClient(options, (terminal, client) =>
            check({ file, against, terminal, client, formats }),
          );
        },
      )
      .example('$0 config check new.toml --against old.toml', 'compare two files')
      .demandCommand(1, 'Give one of: check.'),
  );
}

interface CheckOrder {
  readonly file: string;
  readonly against: string | undefined;
  readonly terminal: Terminal;
  readonly client: OperatorClient | undefined;
  readonly formats: readonly ConfigurationFormat[];
}

function check(order: CheckOrder): CommandOutcome<CommandReport> {
  const { file, against, terminal, formats } = order;
  if (against !== undefined && isStandardInput(file) && isStandardInput(against)) {
    return errAsync(createFileFailure(against, 'only one of the two files can be standard input'));
  }
  return readConfigurationFile(file, terminal, formats).andThen((configuration) => {
    return readVersion(order, configuration).andThen((inForce) =>
      createReport(checkFile(formatFileName(file), configuration, inForce)),
    );
  });
}

function readVersion(
  { against, terminal, client, formats }: CheckOrder,
  { ticket }: ConfigurationFile,
): CommandOutcome<VersionInForce> {
  if (against !== undefined) {
    return readVersionFile(against, terminal, formats);
  }
  return ticket === undefined ? okAsync({ subjects: undefined }) : readVersionInForce(client);
}

function checkFile(
  file: string,
  { ticket, isNumbered, findings, omitted }: ConfigurationFile,
  { subjects: inForce, note }: VersionInForce,
): ConfigurationReport {
  if (ticket === undefined) {
    return { file, findings, differences: undefined, notes: [INVALID_NOTE] };
  }
  const result = checkConfiguration({ ticket, isNumbered, inForce, omitted });
  const notes = [
    ...(note === undefined ? [] : [note]),
    ...(result.isComplete ? [] : [PARTIAL_NOTE]),
  ];
  const { differences } = result;
  return { file, findings: [...findings, ...result.findings], differences, notes };
}

function createReport(report: ConfigurationReport): Result<CommandReport, CommandFailure> {
  const { file, notes, findings } = report;
  const table = formatFindings(report);
  const problems = summarize(report);
  if (findings.every(({ severity }) => severity !== Severity.Error)) {
    const lines = [...notes, `${file}: ${problems}.`].map((line) => `${line}\n`).join('');
    return ok({ json: report, text: table + lines });
  }
  const lines = [...table.split('\n').filter((line) => line !== ''), ...notes];
  const failure = createFailure(
    ExitStatus.Refused,
    Diagnostics.ConfigurationRefused,
    { file, problems },
    'config.check',
  );
  return err({ ...failure, lines, json: { ...report } });
}
