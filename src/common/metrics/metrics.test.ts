import { expect, test } from 'vitest';
import { toAccountId, toGroupId, toRevision, toTerm } from '../ids/index.js';
import { Diagnostics } from '../diagnostics/index.js';
import { ConnectionSide, Metrics, ReadSource, RequestClass } from './index.js';

async function readLines(metrics: Metrics, prefix: string): Promise<string[]> {
  const page = await metrics.format();
  return page.split('\n').filter((line) => line.startsWith(`filbertpoint_${prefix}`));
}

test('a request is counted in the histograms of its account and class, in seconds', async () => {
  const metrics = new Metrics();
  const account = metrics.getAccount(toAccountId('mill-7'));
  account.recordRequest(RequestClass.Write, { waitMs: 1.5, serviceMs: 40, totalMs: 41.5 });
  account.recordRequest(RequestClass.Write, { waitMs: 0, serviceMs: 60_000, totalMs: 60_000 });
  expect(await readLines(metrics, 'request_service_seconds')).toMatchSnapshot();
  expect(await readLines(metrics, 'request_wait_seconds_sum')).toEqual([
    'filbertpoint_request_wait_seconds_sum{account="mill-7",class="write"} 0.0015',
  ]);
});

test('admissions, refusals by number, tokens and reads are counted', async () => {
  const metrics = new Metrics();
  const account = metrics.getAccount(toAccountId('mill-7'));
  account.recordAdmitted();
  account.recordRefused(Diagnostics.LeaseExpired);
  account.recordRefused(Diagnostics.LeaseExpired);
  account.recordTokensGranted(5);
  account.recordTokensReturned(2);
  metrics.recordRead(ReadSource.Replica);
  const page = await metrics.format();
  const lines = page.split('\n').filter((line) => /^\w+_total\{/.test(line));
  expect(lines).toMatchInlineSnapshot(`
    [
      "filbertpoint_requests_admitted_total{account="mill-7"} 1",
      "filbertpoint_requests_refused_total{account="mill-7",code="FP3005"} 2",
      "filbertpoint_tokens_granted_total{account="mill-7"} 5",
      "filbertpoint_tokens_returned_total{account="mill-7"} 2",
      "filbertpoint_reads_total{source="replica"} 1",
    ]
  `);
});

test('accounts beyond the bound share one label', async () => {
  const metrics = new Metrics(2);
  for (let index = 0; index < 50; index += 1) {
    metrics.getAccount(toAccountId(`account-${index}`)).recordAdmitted();
  }
  expect(await readLines(metrics, 'requests_admitted_total')).toEqual([
    'filbertpoint_requests_admitted_total{account="account-0"} 1',
    'filbertpoint_requests_admitted_total{account="account-1"} 1',
    'filbertpoint_requests_admitted_total{account="other"} 48',
  ]);
});

test('gauges show leases, revision, terms and connections, and forget a group given up', async () => {
  const metrics = new Metrics();
  metrics.setDaemonLease(true);
  metrics.setResourceLeases(3, 4);
  metrics.setRevision(toRevision(17));
  metrics.setControlTerm(5);
  metrics.setGroupTerm(toGroupId('jiwe-1'), toTerm(9));
  metrics.setGroupTerm(toGroupId('jiwe-2'), toTerm(9));
  metrics.removeGroup(toGroupId('jiwe-2'));
  metrics.setConnections(ConnectionSide.Callers, 7_700);
  const page = await metrics.format();
  const lines = page.split('\n').filter((line) => /^filbertpoint_\w+(?<!_total)[{ ]/.test(line));
  expect(lines).toMatchInlineSnapshot(`
    [
      "filbertpoint_connections{side="callers"} 7700",
      "filbertpoint_daemon_lease 1",
      "filbertpoint_resource_leases{kind="group"} 3",
      "filbertpoint_resource_leases{kind="account"} 4",
      "filbertpoint_configuration_revision 17",
      "filbertpoint_control_term 5",
      "filbertpoint_group_term{group="jiwe-1"} 9",
    ]
  `);
});
