import type { SettingsView } from './settingsView.js';

/** A condition between several keys. */
export interface SettingsRule {
  /** The key that is named when the rule is broken. */
  readonly key: string;
  /** What is expected, in words. */
  readonly expected: string;
  isBroken(view: SettingsView): boolean;
}
