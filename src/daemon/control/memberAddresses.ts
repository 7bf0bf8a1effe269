import type { MemberId } from '../../decisions/consensus/index.js';
import type { ControlState } from '../../decisions/control/index.js';

const INCARNATION_SEPARATOR = '.life-';

/** A control host as the settings name it. */
export interface ConfiguredMember {
  readonly host: string;
  readonly address: string;
}

/** Identity of a host's log after an earlier one was lost. */
export function createReplacementName(host: string, incarnation: string): string {
  return `${host}${INCARNATION_SEPARATOR}${incarnation}`;
}

/** The name of the host that keeps, or kept, a member's log. */
export function getMemberHostName(member: string): string {
  return member.split(INCARNATION_SEPARATOR)[0] ?? member;
}

/** Finds the mesh addresses of quorum members: from the ticket in force, else from the settings. */
export class MemberAddresses {
  private readonly learnedAddresses = new Map<string, string>();

  constructor(
    private readonly configured: readonly ConfiguredMember[],
    private readonly state: Pick<ControlState, 'getControlMembers'>,
  ) {}

  /** Notes the address that a member's message came from. */
  recordAddress(member: string, address: string): void {
    this.learnedAddresses.set(member, address);
  }

  find(member: MemberId): string | undefined {
    const inForce = this.state.getControlMembers()?.members;
    const known = inForce?.find((candidate) => candidate.member === member);
    return known?.address ?? this.learnedAddresses.get(member) ?? this.findConfigured(member);
  }

  private findConfigured(member: MemberId): string | undefined {
    const host = getMemberHostName(member);
    return this.configured.find((candidate) => candidate.host === host)?.address;
  }
}
