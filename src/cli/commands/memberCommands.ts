import { err, ok, type Result } from 'neverthrow';
import type { Argv } from 'yargs';
import { Diagnostics } from '../../common/diagnostics/index.js';
import { toFailureDomain, toHostId } from '../../common/ids/index.js';
import type { SubjectStatus } from '../../decisions/control/index.js';
import {
  SubjectKind,
  type ControlMember,
  type ControlMembersState,
} from '../../decisions/tickets/index.js';
import { createFailure, type CommandFailure } from '../commandFailure.js';
import type { CommandOutcome } from '../commandOutcome.js';
import type { CommandReport } from '../commandReport.js';
import type { CommandRunner } from '../commandRunner.js';
import type { CommandSession } from '../commandSession.js';
import { readAllInForce } from '../controlReader.js';
import { ExitStatus } from '../exitStatus.js';
import type { GlobalOptions } from '../globalOptions.js';
import { addNumberOption } from '../numberOption.js';
import { formatTable } from '../table.js';
import { submitChange } from '../ticketSubmission.js';

const SUBJECT = 'control-members';
const STEP = 'members.build';

interface MemberArguments {
  readonly host: string;
  readonly domain: string;
  readonly address: string;
  readonly member: string | undefined;
  readonly number: number | undefined;
}

/** Adds `members add`, `members remove` and `members list`. */
export function addMemberCommands(
  program: Argv<GlobalOptions>,
  runner: CommandRunner,
): Argv<GlobalOptions> {
  return program.command('members', 'Change the members of the control quorum.', (group) =>
    group
      .command(
        'add <host> <domain> <address>',
        'Add a control host, or replace one that lost its disk under a new --member.',
        addMemberArguments,
        (args) => runner.runRemote(args, (session) => addMember(session, args)),
      )
      .command(
        'remove <host>',
        'Remove a control host.',
        (command) =>
          addNumberOption(command).positional('host', { type: 'string', demandOption: true }),
        (args) =>
          runner.runRemote(args, (session) => removeMember(session, args.host, args.number)),
      )
      .command('list', 'List the members that are in force.', {}, (args) =>
        runner.runRemote(args as unknown as GlobalOptions, listMembers),
      )
      .example('$0 members add a4 wukro 10.0.3.4:7400', 'add control host a4')
      .demandCommand(1, 'Give one of: add, remove, list.'),
  );
}

function addMemberArguments(command: Argv<GlobalOptions>): Argv<GlobalOptions & MemberArguments> {
  return addNumberOption(command)
    .positional('host', { type: 'string', demandOption: true })
    .positional('domain', { type: 'string', demandOption: true })
    .positional('address', { type: 'string', demandOption: true, describe: 'Mesh address.' })
    .option('member', {
      type: 'string',
      describe: 'Identity of its stored log, new after a lost disk; by default the host.',
    });
}

function addMember(session: CommandSession, args: MemberArguments): CommandOutcome<CommandReport> {
  const member: ControlMember = {
    member: args.member ?? args.host,
    host: toHostId(args.host),
    domain: toFailureDomain(args.domain),
    address: args.address,
  };
  return changeMembers(session, args.number, (members) =>
    members.some((known) => known.member === member.member)
      ? err(createMemberFailure(`"${member.member}" is a member already; give a new --member.`))
      : ok([...members.filter((known) => known.host !== member.host), member]),
  );
}

function removeMember(
  session: CommandSession,
  host: string,
  number: number | undefined,
): CommandOutcome<CommandReport> {
  return changeMembers(session, number, (members) => {
    const rest = members.filter((known) => known.host !== host);
    return rest.length < members.length
      ? ok(rest)
      : err(createMemberFailure(`Host "${host}" is not a control member.`));
  });
}

function listMembers(session: CommandSession): CommandOutcome<CommandReport> {
  return readAllInForce(session.client)
    .andThen(findMembers)
    .map((members) => ({ json: { members }, text: formatMembers(members) }));
}

function changeMembers(
  session: CommandSession,
  number: number | undefined,
  change: (members: readonly ControlMember[]) => Result<readonly ControlMember[], CommandFailure>,
): CommandOutcome<CommandReport> {
  let members: readonly ControlMember[] = [];
  return submitChange(
    session.client,
    (readings) =>
      findMembers(readings)
        .andThen(change)
        .map((changed): ControlMembersState => {
          members = changed;
          return { kind: SubjectKind.ControlMembers, members: changed };
        }),
    number,
  ).map((ticket) => ({
    json: { members, number: ticket.number },
    text: `Control members by ticket ${ticket.number}:\n${formatMembers(members)}`,
  }));
}

function findMembers(
  readings: readonly SubjectStatus[],
): Result<readonly ControlMember[], CommandFailure> {
  const state = readings.find((reading) => reading.subject === SUBJECT)?.state;
  return state?.kind === SubjectKind.ControlMembers
    ? ok(state.members)
    : err(createMemberFailure(`No ticket is in force on ${SUBJECT}: submit one with all members.`));
}

function formatMembers(members: readonly ControlMember[]): string {
  return formatTable(
    ['HOST', 'MEMBER', 'DOMAIN', 'ADDRESS'],
    members.map((member) => [member.host, member.member, member.domain, member.address]),
  );
}

function createMemberFailure(problem: string): CommandFailure {
  return createFailure(ExitStatus.Refused, Diagnostics.UsageInvalid, { problem }, STEP);
}
