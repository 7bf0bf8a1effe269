import { randomBytes } from 'node:crypto';
import { join } from 'node:path';
import { Diagnostics, type Fault } from '../common/diagnostics/index.js';
import { toHostId } from '../common/ids/index.js';
import type { Logger } from '../common/logging/index.js';
import type { PlacementMetrics, UsageMetrics } from '../common/metrics/index.js';
import type { RandomSource } from '../common/random.js';
import type { Outcome } from '../common/result.js';
import type { Settings } from '../common/settings/index.js';
import type { TimerService } from '../common/timer/index.js';
import {
  createEmptyState,
  createFoundingState,
  toMemberId,
  type ConsensusSettings,
} from '../decisions/consensus/index.js';
import { ControlState, type Command, type ControlSettings } from '../decisions/control/index.js';
import {
  ControlHost,
  createReplacementName,
  MemberAddresses,
  type Platform,
} from './control/index.js';
import { createFoundedMembers } from './createFoundedMembers.js';
import { getUsageTerms } from './getUsageTerms.js';
import type { Mesh } from './mesh/index.js';
import type { RequestIds } from './requests/index.js';
import { FileLogStorage, FolderDisk, type LogFounding } from './storage/index.js';

const LOG_FOLDER = 'control-log';
const NAME_SUFFIX_BYTES = 4;

/** The parts of a daemon that its control host uses. */
export interface ControlHostContext {
  readonly settings: Settings;
  readonly mesh: Mesh;
  readonly timer: TimerService;
  readonly logger: Logger;
  readonly random: RandomSource;
  readonly ids: RequestIds;
  /** Whether to create a new quorum from the members in the settings if no log is stored. */
  readonly isFounding: boolean;
  readonly platform: Platform;
  readonly control: ControlSettings;
  /** Counters of usage reports; undefined where usage is not reported. */
  readonly usageMetrics: UsageMetrics | undefined;
  /** Counters of the placement by load; undefined where that is off. */
  readonly placementMetrics: PlacementMetrics | undefined;
  readonly consensus: ConsensusSettings;
  readonly processStartMs?: number | undefined;
  readonly onFatal: (fault: Fault) => void;
}

/** Opens the stored log and creates the control host on it. */
export function createControlHost(context: ControlHostContext): Outcome<ControlHost> {
  const { settings, mesh, timer, logger, random, ids, platform, onFatal } = context;
  const usage = getUsageTerms(settings);
  const folder = join(settings.data_folder ?? '.', LOG_FOLDER);
  const storage = new FileLogStorage<Command>(new FolderDisk(folder), timer, logger);
  const state = new ControlState();
  return storage
    .open(() => createFounding(context))
    .map((opened) => {
      if (opened.isNew) {
        const values = { identity: opened.identity };
        logger.report(Diagnostics.DataFolderNew, values, { step: 'control.open', peer: folder });
      }
      if (opened.repair !== undefined) {
        const { file, droppedBytes: size } = opened.repair;
        logger.report(Diagnostics.LogTailRepaired, { file, size }, { step: 'control.open' });
      }
      return new ControlHost({
        host: toHostId(settings.host),
        mesh,
        timer,
        logger,
        random,
        ids,
        storage,
        opened,
        state,
        addresses: new MemberAddresses(settings.control.members, state),
        platform,
        control: { ...context.control, ...(usage === undefined ? {} : { usage }) },
        usageMetrics: context.usageMetrics,
        placementMetrics: context.placementMetrics,
        consensus: context.consensus,
        admitsMembers: settings.control.admits_members,
        losses: settings.control.losses,
        foundedMembers: createFoundedMembers(settings),
        processStartMs: context.processStartMs,
        onFatal,
      });
    });
}

function createFounding({ settings, isFounding }: ControlHostContext): LogFounding<Command> {
  const name = settings.control.member ?? settings.host;
  if (isFounding) {
    const voters = settings.control.members.map(({ host }) => toMemberId(host));
    return { identity: toMemberId(name), state: createFoundingState(voters) };
  }
  // The member of a lost log may have voted under the host's name, so a new log uses another name.
  const replacement = createReplacementName(name, randomBytes(NAME_SUFFIX_BYTES).toString('hex'));
  return { identity: toMemberId(replacement), state: createEmptyState() };
}
