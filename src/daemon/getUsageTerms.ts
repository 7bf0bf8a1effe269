import type { Settings } from '../common/settings/index.js';
import type { UsageTerms } from '../decisions/usage/index.js';

/** The times of usage reports; undefined where the settings ask for none. */
export function getUsageTerms({ usage }: Settings): UsageTerms | undefined {
  return usage === undefined
    ? undefined
    : { windowMs: usage.window_ms, delayMs: usage.delay_ms, leaseMs: usage.lease_ms };
}
