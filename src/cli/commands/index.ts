import type { Argv } from 'yargs';
import type { CommandRunner } from '../commandRunner.js';
import type { GlobalOptions } from '../globalOptions.js';
import type { ConfigurationFormat } from '../configurationFormat.js';
import { addBackendCommands } from './backendCommands.js';
import { addConfigurationCommands } from './configurationCommands.js';
import { addDomainCommands } from './domainCommands.js';
import { addExplainCommand } from './explainCommand.js';
import { addKeyCommands } from './keyCommands.js';
import { addMemberCommands } from './memberCommands.js';
import { addSettingsCommands } from './settingsCommands.js';
import { addStatusCommand } from './statusCommand.js';
import { addTicketCommands } from './ticketCommands.js';

/** Adds one group of commands to the program. */
export type CommandGroup = (
  program: Argv<GlobalOptions>,
  runner: CommandRunner,
  formats: readonly ConfigurationFormat[],
) => Argv<GlobalOptions>;

/** All groups of commands, in the order in which help lists them. */
export const COMMAND_GROUPS: readonly CommandGroup[] = [
  addTicketCommands,
  addConfigurationCommands,
  addKeyCommands,
  addDomainCommands,
  addBackendCommands,
  addMemberCommands,
  addStatusCommand,
  addExplainCommand,
  addSettingsCommands,
];
