import { ok } from 'neverthrow';
import type { Argv } from 'yargs';
import { toGroupId, toInstanceId } from '../../common/ids/index.js';
import { SubjectKind } from '../../decisions/tickets/index.js';
import type { CommandOutcome } from '../commandOutcome.js';
import type { CommandReport } from '../commandReport.js';
import type { CommandRunner } from '../commandRunner.js';
import type { CommandSession } from '../commandSession.js';
import type { GlobalOptions } from '../globalOptions.js';
import { addNumberOption } from '../numberOption.js';
import { submitChange } from '../ticketSubmission.js';

/** Adds `backend leave` and `backend return`. */
export function addBackendCommands(
  program: Argv<GlobalOptions>,
  runner: CommandRunner,
): Argv<GlobalOptions> {
  return program.command('backend', 'Let a backend server leave and return.', (group) =>
    group
      .command(
        'leave <group> <instance>',
        'Give a backend server no new work; running work ends.',
        addInstanceArguments,
        (args) => runner.runRemote(args, (session) => setLeaving(session, args, true)),
      )
      .command('return <group> <instance>', 'Give it work again.', addInstanceArguments, (args) =>
        runner.runRemote(args, (session) => setLeaving(session, args, false)),
      )
      .example('$0 backend leave ledger-1 ledger-1-b', 'before the upgrade of an instance')
      .demandCommand(1, 'Give one of: leave, return.'),
  );
}

interface InstanceArguments {
  readonly group: string;
  readonly instance: string;
  readonly number: number | undefined;
}

function addInstanceArguments(
  command: Argv<GlobalOptions>,
): Argv<GlobalOptions & InstanceArguments> {
  return addNumberOption(command)
    .positional('group', { type: 'string', demandOption: true })
    .positional('instance', { type: 'string', demandOption: true });
}

function setLeaving(
  session: CommandSession,
  args: InstanceArguments,
  leaving: boolean,
): CommandOutcome<CommandReport> {
  const kind = SubjectKind.BackendServer as const;
  const group = toGroupId(args.group);
  const instance = toInstanceId(args.instance);
  const state = { kind, group, instance, leaving };
  const change = leaving ? 'is leaving' : 'has returned';
  return submitChange(session.client, () => ok(state), args.number).map((ticket) => ({
    json: { group, instance, leaving, number: ticket.number },
    text: `Instance "${instance}" of group "${group}" ${change} by ticket ${ticket.number}.\n`,
  }));
}
