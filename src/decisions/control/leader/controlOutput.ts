import type { Diagnostic, DiagnosticArguments } from '../../../common/diagnostics/index.js';
import type { GroupId, HostId, InstanceId, Term } from '../../../common/ids/index.js';
import type { PlacementEvent } from '../../../common/metrics/placementEvent.js';
import type { UsageEvent } from '../../../common/metrics/usageEvent.js';
import type { UsageReport } from '../../usage/index.js';
import type { Command } from '../command.js';
import type { LeaseGrant } from '../leaseGrant.js';
import type { RecordUpdate } from '../recordUpdate.js';

/** Kinds of output of the control leader. */
export enum ControlOutputKind {
  Propose = 'propose',
  Grant = 'grant',
  Update = 'update',
  Promote = 'promote',
  ReportUsage = 'report-usage',
  CountUsage = 'count-usage',
  CountPlacement = 'count-placement',
  Log = 'log',
}

/** Command to propose to the control log. */
export interface Propose {
  readonly kind: ControlOutputKind.Propose;
  readonly command: Command;
}

/** Answer to a daemon's renewal. */
export interface Grant {
  readonly kind: ControlOutputKind.Grant;
  readonly host: HostId;
  readonly grant: LeaseGrant;
}

/** Changed records to push to daemons. */
export interface Update {
  readonly kind: ControlOutputKind.Update;
  readonly hosts: readonly HostId[];
  readonly update: RecordUpdate;
}

/** Order to the platform to promote an instance; idempotent at the platform. */
export interface Promote {
  readonly kind: ControlOutputKind.Promote;
  readonly group: GroupId;
  readonly instance: InstanceId;
  readonly term: Term;
  /** HTTP address `ip:port` at which the platform accepts orders for the instance. */
  readonly platform: string;
}

/** Usage report to send to the platform; its outcome comes back as an input. */
export interface ReportUsage {
  readonly kind: ControlOutputKind.ReportUsage;
  readonly report: UsageReport;
}

/** Event of the usage reports to count. */
export interface CountUsage {
  readonly kind: ControlOutputKind.CountUsage;
  readonly event: UsageEvent;
  readonly count: number;
}

/** Event of the placement by load to count. */
export interface CountPlacement {
  readonly kind: ControlOutputKind.CountPlacement;
  readonly event: PlacementEvent;
  readonly count: number;
}

/** Event to log. */
export interface Log {
  readonly kind: ControlOutputKind.Log;
  readonly diagnostic: Diagnostic;
  readonly values: DiagnosticArguments;
}

/** Any output of the control leader. */
export type ControlOutput =
  Propose | Grant | Update | Promote | ReportUsage | CountUsage | CountPlacement | Log;
