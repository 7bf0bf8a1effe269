import { ok } from 'neverthrow';
import type { Argv } from 'yargs';
import { toFailureDomain } from '../../common/ids/index.js';
import { SubjectKind } from '../../decisions/tickets/index.js';
import type { CommandOutcome } from '../commandOutcome.js';
import type { CommandReport } from '../commandReport.js';
import type { CommandRunner } from '../commandRunner.js';
import type { CommandSession } from '../commandSession.js';
import type { GlobalOptions } from '../globalOptions.js';
import { addNumberOption } from '../numberOption.js';
import { submitChange } from '../ticketSubmission.js';

/** Adds `domain out` and `domain back`. */
export function addDomainCommands(
  program: Argv<GlobalOptions>,
  runner: CommandRunner,
): Argv<GlobalOptions> {
  return program.command('domain', 'Take a failure domain out of service and back.', (group) =>
    group
      .command(
        'out <domain>',
        'Take a failure domain out: no new work goes to it, running work ends.',
        addDomainArguments,
        (args) =>
          runner.runRemote(args, (session) => setDomain(session, args.domain, false, args.number)),
      )
      .command('back <domain>', 'Bring it back.', addDomainArguments, (args) =>
        runner.runRemote(args, (session) => setDomain(session, args.domain, true, args.number)),
      )
      .example('$0 domain out adigrat', 'take failure domain adigrat out of service')
      .demandCommand(1, 'Give one of: out, back.'),
  );
}

function addDomainArguments(
  command: Argv<GlobalOptions>,
): Argv<GlobalOptions & { domain: string; number: number | undefined }> {
  return addNumberOption(command).positional('domain', { type: 'string', demandOption: true });
}

function setDomain(
  session: CommandSession,
  domain: string,
  inService: boolean,
  number: number | undefined,
): CommandOutcome<CommandReport> {
  const kind = SubjectKind.FailureDomain as const;
  const state = { kind, domain: toFailureDomain(domain), inService };
  const direction = inService ? 'back in' : 'out of';
  return submitChange(session.client, () => ok(state), number).map((ticket) => ({
    json: { domain, inService, number: ticket.number },
    text: `Failure domain "${domain}" is ${direction} service by ticket ${ticket.number}.\n`,
  }));
}
