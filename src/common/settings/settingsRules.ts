import { isAddress, isLoopback, splitAddress } from './address.js';
import type { SettingsRule } from './settingsRule.js';
import { SettingsView } from './settingsView.js';

/** Rules between the keys of a daemon's settings. */
export const SETTINGS_RULES: readonly SettingsRule[] = [
  {
    key: 'data_folder',
    expected: 'needed for role control',
    isBroken: (view) => hasRole(view, 'control') && !view.has('data_folder'),
  },
  {
    key: 'callers',
    expected: 'needed for role entry',
    isBroken: (view) => hasRole(view, 'entry') && !view.has('callers'),
  },
  {
    key: 'mesh.tls',
    expected: 'needed unless mesh.plain is true',
    isBroken: (view) => !view.has('mesh.tls') && view.get('mesh.plain') !== true,
  },
  {
    key: 'mesh.tls.authority',
    expected: 'needed, because both sides of the mesh show a certificate',
    isBroken: (view) => view.has('mesh.tls') && !view.has('mesh.tls.authority'),
  },
  {
    key: 'control.members',
    expected: 'expected each host once',
    isBroken: (view) => hasRepeated(view, 'host'),
  },
  {
    key: 'control.members',
    expected: 'expected each address once',
    isBroken: (view) => hasRepeated(view, 'address'),
  },
  {
    key: 'operators.token_file',
    expected: 'needed unless operators.listen is a loopback address',
    isBroken: (view) => !view.has('operators.token_file') && isReachable(view),
  },
  {
    key: 'operators.announcer_token_file',
    expected: 'needed unless operators.listen is a loopback address',
    isBroken: (view) => !view.has('operators.announcer_token_file') && isReachable(view),
  },
  {
    key: 'fleet',
    expected: 'one of token_key_file and token_key is needed',
    isBroken: (view) => !view.has('fleet.token_key_file') && !view.has('fleet.token_key'),
  },
  {
    key: 'fleet',
    expected: 'token_key_file and token_key exclude each other',
    isBroken: (view) => view.has('fleet.token_key_file') && view.has('fleet.token_key'),
  },
];

function hasRole(view: SettingsView, role: string): boolean {
  return view.getArray('roles').includes(role);
}

function hasRepeated(view: SettingsView, key: string): boolean {
  const texts = getMemberTexts(view, key);
  return new Set(texts).size < texts.length;
}

function getMemberTexts(view: SettingsView, key: string): readonly (string | undefined)[] {
  return view
    .getArray('control.members')
    .map((member) => new SettingsView(member).getText(key))
    .filter((text) => text !== undefined);
}

/** Returns whether other hosts can reach the operators' HTTP interface. */
function isReachable(view: SettingsView): boolean {
  const listen = view.getText('operators.listen');
  return listen !== undefined && isAddress(listen) && !isLoopback(splitAddress(listen));
}
