import { accessSync, constants, statSync } from 'node:fs';
import { dirname, resolve } from 'node:path';
import type { SettingsProblem } from './settingsProblem.js';
import { SettingsView } from './settingsView.js';
import type { Settings } from './settings.js';

/** Keys whose values are paths of files that the daemon reads. */
const FILE_KEYS = [
  'mesh.tls.certificate',
  'mesh.tls.key',
  'mesh.tls.authority',
  'callers.tls.certificate',
  'callers.tls.key',
  'callers.tls.authority',
  'operators.token_file',
  'operators.announcer_token_file',
  'backend.password_file',
  'fleet.token_key_file',
];

/** Checks that the files named by settings are readable and that the data folder is writable. */
export function findFileProblems(settings: Settings): readonly SettingsProblem[] {
  const view = new SettingsView(settings);
  const problems = FILE_KEYS.flatMap((key) => {
    const file = view.getText(key);
    return file === undefined || isReadableFile(file)
      ? []
      : [{ key, expected: `expected a readable file at ${file}` }];
  });
  const folder = settings.data_folder;
  return folder === undefined || isWritableFolder(resolve(folder))
    ? problems
    : [...problems, { key: 'data_folder', expected: `expected a writable folder at ${folder}` }];
}

function isReadableFile(file: string): boolean {
  try {
    accessSync(file, constants.R_OK);
    return statSync(file).isFile();
  } catch {
    return false;
  }
}

/** Returns whether a folder is writable or, if it is missing, can be created. */
function isWritableFolder(folder: string): boolean {
  const status = statSync(folder, { throwIfNoEntry: false });
  if (status === undefined) {
    const parent = dirname(folder);
    return parent !== folder && isWritableFolder(parent);
  }
  try {
    accessSync(folder, constants.R_OK | constants.W_OK);
    return status.isDirectory();
  } catch {
    return false;
  }
}
