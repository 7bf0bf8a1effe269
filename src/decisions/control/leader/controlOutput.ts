import type { Diagnostic, DiagnosticArguments } from '../../../common/diagnostics/index.js';
import type { GroupId, HostId, InstanceId, Term } from '../../../common/ids/index.js';
import type { Command } from '../command.js';
import type { LeaseGrant } from '../leaseGrant.js';
import type { RecordUpdate } from '../recordUpdate.js';

/** Tells the outputs of the control leader apart. */
export enum ControlOutputKind {
  Propose = 'propose',
  Grant = 'grant',
  Update = 'update',
  Promote = 'promote',
  Log = 'log',
}

/** Propose a command to the control log. */
export interface Propose {
  readonly kind: ControlOutputKind.Propose;
  readonly command: Command;
}

/** Answer a daemon's renewal. */
export interface Grant {
  readonly kind: ControlOutputKind.Grant;
  readonly host: HostId;
  readonly grant: LeaseGrant;
}

/** Push changed records to daemons. */
export interface Update {
  readonly kind: ControlOutputKind.Update;
  readonly hosts: readonly HostId[];
  readonly update: RecordUpdate;
}

/** Order the platform to promote an instance; idempotent there. */
export interface Promote {
  readonly kind: ControlOutputKind.Promote;
  readonly group: GroupId;
  readonly instance: InstanceId;
  readonly term: Term;
  /** HTTP address `ip:port` at which the platform takes orders for the instance. */
  readonly platform: string;
}

/** Log an event. */
export interface Log {
  readonly kind: ControlOutputKind.Log;
  readonly diagnostic: Diagnostic;
  readonly values: DiagnosticArguments;
}

/** Whatever the control leader wants done. */
export type ControlOutput = Propose | Grant | Update | Promote | Log;
