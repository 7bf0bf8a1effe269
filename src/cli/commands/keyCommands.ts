import { randomBytes } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import type { Argv } from 'yargs';
import { Diagnostics, Execution } from '../../common/diagnostics/index.js';
import { createKeyVerifier } from '../../common/scram.js';
import type { SubjectStatus } from '../../decisions/control/index.js';
import { SubjectKind, type AccountState } from '../../decisions/tickets/index.js';
import { createFailure, type CommandFailure } from '../commandFailure.js';
import type { CommandOutcome } from '../commandOutcome.js';
import type { CommandReport } from '../commandReport.js';
import type { CommandRunner } from '../commandRunner.js';
import type { CommandSession } from '../commandSession.js';
import { ExitStatus } from '../exitStatus.js';
import type { GlobalOptions } from '../globalOptions.js';
import { addNumberOption } from '../numberOption.js';
import { submitChange } from '../ticketSubmission.js';

const KEY_BYTES = 24;
const KEY_ID_BYTES = 4;
const STEP = 'key.build';

/** Adds `key issue` and `key withdraw`. */
export function addKeyCommands(
  program: Argv<GlobalOptions>,
  runner: CommandRunner,
): Argv<GlobalOptions> {
  return program.command('key', 'Issue and withdraw keys of client accounts.', (group) =>
    group
      .command(
        'issue <account>',
        'Make a key and print it once; only its verifier is sent.',
        (command) =>
          addNumberOption(command)
            .positional('account', { type: 'string', demandOption: true })
            .option('id', { type: 'string', describe: 'Name of the key; by default made up.' }),
        (args) =>
          runner.runRemote(args, (session) =>
            issueKey(session, args.account, args.id, args.number),
          ),
      )
      .command(
        'withdraw <account> <keyid>',
        'Withdraw a key; connected callers lose it too.',
        (command) =>
          addNumberOption(command)
            .positional('account', { type: 'string', demandOption: true })
            .positional('keyid', { type: 'string', demandOption: true }),
        (args) =>
          runner.runRemote(args, (session) =>
            withdrawKey(session, args.account, args.keyid, args.number),
          ),
      )
      .example('$0 key issue mill-7 --id phone', 'make a key named phone for account mill-7')
      .example('$0 key withdraw mill-7 phone', 'withdraw it')
      .demandCommand(1, 'Give one of: issue, withdraw.'),
  );
}

function issueKey(
  session: CommandSession,
  account: string,
  id: string | undefined,
  number: number | undefined,
): CommandOutcome<CommandReport> {
  const key = randomBytes(KEY_BYTES).toString('base64url');
  const keyId = id ?? `key-${randomBytes(KEY_ID_BYTES).toString('hex')}`;
  return submitChange(
    session.client,
    (readings) => findAccount(readings, account).andThen((state) => addKey(state, keyId, key)),
    number,
  )
    .mapErr((failure) => warnOfUnknownKey(failure, keyId))
    .map((ticket) => ({
      json: { account, keyId, key, number: ticket.number },
      text: `account  ${account}\nkey id   ${keyId}\nticket   ${ticket.number}\nkey      ${key}\n`,
    }));
}

function withdrawKey(
  session: CommandSession,
  account: string,
  keyId: string,
  number: number | undefined,
): CommandOutcome<CommandReport> {
  return submitChange(
    session.client,
    (readings) => findAccount(readings, account).andThen((state) => removeKey(state, keyId)),
    number,
  ).map((ticket) => ({
    json: { account, keyId, number: ticket.number },
    text: `Key "${keyId}" of account "${account}" is withdrawn by ticket ${ticket.number}.\n`,
  }));
}

/** A key whose ticket may be in force was printed nowhere, so nobody can use it. */
function warnOfUnknownKey(failure: CommandFailure, keyId: string): CommandFailure {
  const { body } = failure;
  const hint = `Key "${keyId}" may be in force although it was not printed: withdraw it.`;
  return body.detail === Execution.Unknown
    ? { ...failure, body: { ...body, message: `${body.message} ${hint}` } }
    : failure;
}

function findAccount(
  readings: readonly SubjectStatus[],
  account: string,
): Result<AccountState, CommandFailure> {
  const subject = `account/${account}`;
  const state = readings.find((reading) => reading.subject === subject)?.state;
  return state?.kind === SubjectKind.Account
    ? ok(state)
    : err(createFailure(ExitStatus.Refused, Diagnostics.SubjectNotInForce, { subject }, STEP));
}

function addKey(
  state: AccountState,
  id: string,
  key: string,
): Result<AccountState, CommandFailure> {
  if (state.keys.some((known) => known.id === id)) {
    return err(createUsageFailure(`Account "${state.account}" has a key "${id}" already.`));
  }
  const verifier = createKeyVerifier(key, state.salt, state.iterations);
  return ok({ ...state, keys: [...state.keys, { id, ...verifier }] });
}

function removeKey(state: AccountState, id: string): Result<AccountState, CommandFailure> {
  if (!state.keys.some((known) => known.id === id)) {
    return err(createUsageFailure(`Account "${state.account}" has no key "${id}".`));
  }
  return ok({ ...state, keys: state.keys.filter((known) => known.id !== id) });
}

function createUsageFailure(problem: string): CommandFailure {
  return createFailure(ExitStatus.Refused, Diagnostics.UsageInvalid, { problem }, STEP);
}
