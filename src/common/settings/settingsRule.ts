import type { SettingsView } from './settingsView.js';

/** Condition on the values of several keys. */
export interface SettingsRule {
  /** Key that the problem names if the rule is broken. */
  readonly key: string;
  /** Description of the expected values. */
  readonly expected: string;
  isBroken(view: SettingsView): boolean;
}
