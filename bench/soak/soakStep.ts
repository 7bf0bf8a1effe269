import { FaultKind, type FleetFault } from '../../tests/support/fleet/index.js';

/** Tells apart what happens to the control quorum and what operators ask of it. */
export enum SoakKind {
  CrashControl = 'crash-control',
  LoseControlDisk = 'lose-control-disk',
  PauseControl = 'pause-control',
  IsolateControl = 'isolate-control',
  CutControlOneWay = 'cut-control-one-way',
  CutDaemonOneWay = 'cut-daemon-one-way',
  CutInstanceOneWay = 'cut-instance-one-way',
  CutAnswers = 'cut-answers',
  SlowNetwork = 'slow-network',
  TransferControl = 'transfer-control',
  RestartAll = 'restart-all',
  TicketRace = 'ticket-race',
  TicketBurst = 'ticket-burst',
  TicketAgain = 'ticket-again',
}

/** One step of a schedule: after which time, what, to whom, for how long. */
export interface SoakStep {
  readonly kind: FaultKind | SoakKind;
  readonly afterMs: number;
  readonly target: number;
  readonly other: number;
  readonly durationMs: number;
}

const FAULT_KINDS: ReadonlySet<string> = new Set(Object.values(FaultKind));

/** Whether a step is a fault of the fleet outside the control quorum. */
export function isFleetFault(step: SoakStep): step is SoakStep & FleetFault {
  return FAULT_KINDS.has(step.kind);
}
