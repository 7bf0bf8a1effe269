import { Logger } from '../../src/common/logging/index.js';
import type { TimerService } from '../../src/common/timer/index.js';
import { standinSettingsSchema, type StandinSettingsInput } from '../settings/index.js';
import { StandinInstance } from './standinInstance.js';

/** Creates an instance that is not started yet; settings that are left out get their defaults. */
export function createStandinInstance(
  settings: StandinSettingsInput,
  timer: TimerService,
  logger?: Logger,
): StandinInstance {
  const checked = standinSettingsSchema.parse(settings);
  const base = { group: checked.group, instance: checked.instance };
  return new StandinInstance(checked, timer, logger ?? new Logger(checked.log.level, base));
}
