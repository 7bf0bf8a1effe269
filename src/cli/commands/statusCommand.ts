import { ResultAsync } from 'neverthrow';
import type { Argv } from 'yargs';
import type {
  DaemonStatus,
  FleetStatus,
  GroupStatus,
  InstanceStatus,
} from '../../decisions/control/index.js';
import { tryParseFleetStatus } from '../answers.js';
import type { CommandOutcome } from '../commandOutcome.js';
import type { CommandReport } from '../commandReport.js';
import type { CommandRunner } from '../commandRunner.js';
import type { CommandSession } from '../commandSession.js';
import type { GlobalOptions } from '../globalOptions.js';
import { sumRefusals, type RefusalCount } from '../refusalCounts.js';
import { formatTable } from '../table.js';

/** Adds `status`. */
export function addStatusCommand(
  program: Argv<GlobalOptions>,
  runner: CommandRunner,
): Argv<GlobalOptions> {
  return program.command(
    'status',
    'Show daemons, leases, holders, readers, terms, positions, lag, and refusals at the given addresses.',
    (command) => command.example('$0 status --url http://10.0.1.1:7480', 'the state of the fleet'),
    (args) => runner.runRemote(args, readStatus),
  );
}

function readStatus(session: CommandSession): CommandOutcome<CommandReport> {
  const status = session.client.get('/status').andThen(tryParseFleetStatus);
  const pages = ResultAsync.fromSafePromise(session.client.getFromEach('/metrics'));
  return status.andThen((fleet) =>
    pages.map((texts) => {
      const refusals = sumRefusals(texts);
      return { json: { ...fleet, refusals }, text: formatStatus(fleet, refusals) };
    }),
  );
}

function formatStatus(fleet: FleetStatus, refusals: readonly RefusalCount[]): string {
  const { leader, controlTerm, revision } = fleet;
  return [
    `control leader ${leader}, term ${controlTerm}, revision ${revision}\n`,
    formatDaemons(fleet.daemons, fleet.revision),
    formatGroups(fleet.groups),
    formatInstances(fleet.groups),
    formatTable(
      ['ACCOUNT', 'HOLDER'],
      fleet.accounts.map((account) => [account.account, account.holder]),
    ),
    formatTable(
      ['ACCOUNT', 'REFUSAL', 'COUNT'],
      refusals.map((refusal) => [refusal.account, refusal.code, refusal.count]),
    ),
  ].join('\n');
}

function formatDaemons(daemons: readonly DaemonStatus[], revision: number): string {
  return formatTable(
    ['DAEMON', 'DOMAIN', 'ADDRESS', 'REVISION', 'BEHIND', 'LEASE LEFT'],
    daemons.map((daemon) => [
      daemon.host,
      daemon.domain,
      daemon.address,
      daemon.revision,
      Math.max(0, revision - daemon.revision),
      formatDuration(daemon.leaseLeftMs),
    ]),
  );
}

function formatGroups(groups: readonly GroupStatus[]): string {
  return formatTable(
    ['GROUP', 'HOLDER', 'TERM', 'PRIMARY', 'PHASE'],
    groups.map((group) => [group.group, group.holder, group.term, group.primary, group.phase]),
  );
}

function formatInstances(groups: readonly GroupStatus[]): string {
  const rows = groups.flatMap((group) =>
    group.instances.map((instance) => [
      group.group,
      instance.instance,
      instance.domain,
      instance.role,
      instance.term,
      instance.position,
      instance.reader,
      getLag(group, instance),
      formatDuration(instance.announcedAgoMs),
    ]),
  );
  const places = ['GROUP', 'INSTANCE', 'DOMAIN', 'ROLE', 'TERM', 'POSITION'];
  return formatTable([...places, 'READER', 'LAG', 'ANNOUNCED'], rows);
}

/** Positions behind the primary; unknown while the histories differ. */
function getLag(group: GroupStatus, instance: InstanceStatus): number | undefined {
  const primary = group.instances.find((each) => each.instance === group.primary);
  return primary?.term === instance.term
    ? Math.max(0, primary.position - instance.position)
    : undefined;
}

function formatDuration(durationMs: number): string {
  return `${Math.round(durationMs)} ms`;
}
