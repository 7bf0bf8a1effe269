import { readFileSync } from 'node:fs';
import { err, ok, type Result } from 'neverthrow';
import { parse } from 'smol-toml';
import { createFault, Diagnostics, type Fault } from '../diagnostics/index.js';
import { settingsSchema, type Settings } from './settings.js';

/** Reads and checks a settings file; the fault names the file, the key and what was expected. */
export function tryReadSettings(file: string): Result<Settings, Fault> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (cause) {
    return err(settingsFault(file, '', String(cause)));
  }
  return tryParseSettings(file, text);
}

/** Checks the text of a settings file. */
export function tryParseSettings(file: string, text: string): Result<Settings, Fault> {
  let document: unknown;
  try {
    document = parse(text);
  } catch (cause) {
    return err(settingsFault(file, '', cause instanceof Error ? cause.message : String(cause)));
  }
  const checked = settingsSchema.safeParse(document);
  if (!checked.success) {
    const issue = checked.error.issues[0];
    return err(settingsFault(file, issue?.path.join('.') ?? '', issue?.message ?? ''));
  }
  return ok(checked.data);
}

function settingsFault(file: string, key: string, expected: string): Fault {
  return createFault(
    Diagnostics.SettingsInvalid,
    { file, key, expected },
    { step: 'settings.check', peer: file },
  );
}
