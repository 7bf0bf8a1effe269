import type { WindowNumber } from '../../common/ids/index.js';
import type { KeptCounts, WindowCounts } from '../usage/index.js';
import type { CommandKind } from './commandKind.js';

/** Makes the counts of a usage window final, before they are reported for the first time. */
export interface CommitUsage {
  readonly kind: CommandKind.CommitUsage;
  readonly usage: WindowCounts;
}

/** Removes a usage window that was reported, or that is given up. */
export interface SettleUsage {
  readonly kind: CommandKind.SettleUsage;
  readonly window: WindowNumber;
}

/** Keeps the counts of a host that fell silent, for the case that the control leader is lost, too. */
export interface KeepUsage {
  readonly kind: CommandKind.KeepUsage;
  readonly usage: KeptCounts;
}

/** Command on usage reports; proposed only where the settings ask for reports. */
export type UsageCommand = CommitUsage | SettleUsage | KeepUsage;
