import { readFileSync } from 'node:fs';
import { expect, test } from 'vitest';
import { parse } from 'smol-toml';
import { z } from 'zod';
import { toFailureDomain, toHostId } from '../../src/common/ids/index.js';
import { createMemberPlanSettings, planMembers } from '../../src/decisions/control/index.js';
import type { ControlMember } from '../../src/decisions/tickets/index.js';

const DEPLOY_FILE = new URL('../../deploy/system.toml', import.meta.url);
const FOUNDERS = 3;
/** Hosts with a disk by failure domain, and how many of their disks may be lost at once. */
const DEPLOYMENTS = [
  { hosts: [1, 1, 1], losses: 1 },
  { hosts: [2, 2, 1], losses: 1 },
  { hosts: [2, 1, 1, 1], losses: 1 },
  { hosts: [3, 2, 2, 2], losses: 2 },
  { hosts: [3, 3, 3], losses: 2 },
];

const roleSchema = z.object({ share: z.number().optional(), count: z.int().optional() });
const deploySchema = z.object({ roles: z.object({ control: roleSchema }) });

/** The control hosts that the deploy file asks for where a failure domain has so many hosts. */
function getControlHosts(hosts: number): number {
  const { roles } = deploySchema.parse(parse(readFileSync(DEPLOY_FILE, 'utf8')));
  const { share, count } = roles.control;
  return count ?? Math.ceil((share ?? 1) * hosts);
}

/** The members that the quorum settles on when all control hosts are observed. */
function settleMembers(hosts: readonly number[], losses: number): readonly ControlMember[] {
  const all = hosts.flatMap((count, domain) =>
    Array.from({ length: getControlHosts(count) }, (_, index) => ({
      member: `${domain}.${index}`,
      host: toHostId(`control-${domain}-${index}`),
      domain: toFailureDomain(`domain-${domain}`),
      address: `10.${domain}.0.${index}:7560`,
    })),
  );
  const observed = all.map((member) => ({ member, lastSeenMs: 0 }));
  const settings = createMemberPlanSettings(losses);
  let members: readonly ControlMember[] | undefined = all.slice(0, FOUNDERS);
  let settled = members;
  while (members !== undefined) {
    settled = members;
    members = planMembers({ present: settled, observed, sinceMs: 0, nowMs: 0 }, settings);
  }
  return settled;
}

test.each(DEPLOYMENTS)(
  'what a quorum acknowledged outlasts the loss of $losses disks at once with hosts $hosts',
  ({ hosts, losses }) => {
    const members = settleMembers(hosts, losses);
    const majority = Math.floor(members.length / 2) + 1;
    const left = members.length - losses;
    expect(majority, 'a member that acknowledged is left').toBeGreaterThan(losses);
    expect(left, 'those left elect a leader').toBeGreaterThanOrEqual(majority);
  },
);

test.each(DEPLOYMENTS)(
  'a quorum elects a leader while any failure domain of hosts $hosts is out',
  ({ hosts, losses }) => {
    const members = settleMembers(hosts, losses);
    for (const { domain } of members) {
      const left = members.filter((member) => member.domain !== domain).length;
      expect(left * 2, domain).toBeGreaterThan(members.length);
    }
  },
);
