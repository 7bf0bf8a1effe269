import type { MemberId } from '../../decisions/consensus/index.js';
import type { ControlState } from '../../decisions/control/index.js';

const INCARNATION_SEPARATOR = '.life-';

/** Control host from the settings, with its mesh address. */
export interface ConfiguredMember {
  readonly host: string;
  readonly address: string;
}

/** Creates the identity of a new log of a host whose earlier log was lost. */
export function createReplacementName(host: string, incarnation: string): string {
  return `${host}${INCARNATION_SEPARATOR}${incarnation}`;
}

/** Returns the name of the host that stores, or stored, a member's log. */
export function getMemberHostName(member: string): string {
  return member.split(INCARNATION_SEPARATOR)[0] ?? member;
}

/**
 * Finds the mesh addresses of quorum members: from the ticket in force, else from received
 * messages, else from the settings.
 */
export class MemberAddresses {
  private readonly learnedAddresses = new Map<string, string>();

  constructor(
    private readonly configured: readonly ConfiguredMember[],
    private readonly state: Pick<ControlState, 'getControlMembers'>,
  ) {}

  /** Records the address from which a member's message was received. */
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
