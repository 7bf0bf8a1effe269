import { err, ok, type Result } from 'neverthrow';
import type { Argv } from 'yargs';
import { Diagnostics } from '../../common/diagnostics/index.js';
import {
  createSettingsReference,
  findSettingsProblems,
  formatSettingsProblem,
} from '../../common/settings/index.js';
import { createFailure, type CommandFailure } from '../commandFailure.js';
import type { CommandReport } from '../commandReport.js';
import type { CommandRunner } from '../commandRunner.js';
import { ExitStatus } from '../exitStatus.js';
import type { GlobalOptions } from '../globalOptions.js';

/** Adds `settings check` and `settings reference`. */
export function addSettingsCommands(
  program: Argv<GlobalOptions>,
  runner: CommandRunner,
): Argv<GlobalOptions> {
  return program.command('settings', "Check a daemon's settings.", (group) =>
    group
      .command(
        'check <file>',
        'Name each problem of a settings file and of the files that it names.',
        (command) => command.positional('file', { type: 'string', demandOption: true }),
        (args) => runner.runLocal(args, () => checkSettings(args.file)),
      )
      .command(
        'reference',
        'Print the reference page of the settings.',
        (command) => command,
        (args) => runner.runLocal(args, printReference),
      )
      .example('$0 settings check /etc/filbertpoint.toml', 'before the start of a daemon')
      .demandCommand(1, 'Give one of: check, reference.'),
  );
}

function checkSettings(file: string): Result<CommandReport, CommandFailure> {
  const problems = findSettingsProblems(file);
  if (problems.length === 0) {
    return ok({ json: { file, problems }, text: `${file}: no problem found.\n` });
  }
  const lines = problems.map((problem) => formatSettingsProblem(file, problem));
  const count = problems.length === 1 ? '1 problem' : `${problems.length} problems`;
  const values = { file, problems: count };
  const failure = createFailure(
    ExitStatus.BadInput,
    Diagnostics.SettingsInvalid,
    values,
    'settings.check',
  );
  return err({ ...failure, lines, json: { file, problems } });
}

function printReference(): Result<CommandReport, CommandFailure> {
  const text = createSettingsReference();
  return ok({ json: { text }, text });
}
