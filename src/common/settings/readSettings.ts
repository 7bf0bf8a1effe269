import { readFileSync } from 'node:fs';
import { err, ok, type Result } from 'neverthrow';
import { tryDecodeText } from '../decodeText.js';
import { createFault, Diagnostics, type Fault } from '../diagnostics/index.js';
import { addLines, tryCheckSettings } from './checkSettings.js';
import { settingsSchema, type Settings } from './settings.js';
import { findFileProblems } from './settingsFiles.js';
import type { SettingsProblem } from './settingsProblem.js';
import { SETTINGS_RULES } from './settingsRules.js';

/** Reads and checks a settings file; the fault lists each invalid key with the expected value. */
export function tryReadSettings(file: string): Result<Settings, Fault> {
  return tryReadText(file)
    .andThen((text) => tryCheckSettings(text, settingsSchema, SETTINGS_RULES))
    .mapErr((problems) => createSettingsFault(file, problems));
}

/** Checks the text of a settings file. */
export function tryParseSettings(file: string, text: string): Result<Settings, Fault> {
  return tryCheckSettings(text, settingsSchema, SETTINGS_RULES).mapErr((problems) =>
    createSettingsFault(file, problems),
  );
}

/** Returns the problems of a settings file or, if it has none, of the files that it names. */
export function findSettingsProblems(file: string): readonly SettingsProblem[] {
  const text = tryReadText(file);
  if (text.isErr()) {
    return text.error;
  }
  return tryCheckSettings(text.value, settingsSchema, SETTINGS_RULES).match(
    (settings) => addLines(findFileProblems(settings), text.value),
    (problems) => problems,
  );
}

function tryReadText(file: string): Result<string, readonly SettingsProblem[]> {
  try {
    const text = tryDecodeText(readFileSync(file));
    return text === undefined ? err([{ key: '', expected: 'is not valid UTF-8' }]) : ok(text);
  } catch (cause) {
    const problem = cause instanceof Error ? cause.message : String(cause);
    return err([{ key: '', expected: `can't be read: ${problem}` }]);
  }
}

function createSettingsFault(file: string, problems: readonly SettingsProblem[]): Fault {
  const texts = problems.map(({ line, key, expected }) => {
    const location = line === undefined ? '' : `line ${line}: `;
    return `${location}${key === '' ? '' : `${key}: `}${expected}`;
  });
  return createFault(
    Diagnostics.SettingsInvalid,
    { file, problems: texts.join('; ') },
    { step: 'settings.check', peer: file },
  );
}
