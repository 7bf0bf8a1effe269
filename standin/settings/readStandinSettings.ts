import { readFileSync } from 'node:fs';
import { err, ok, type Result } from 'neverthrow';
import { parse } from 'smol-toml';
import { createFault, Diagnostics, type Fault } from '../../src/common/diagnostics/index.js';
import { standinSettingsSchema, type StandinSettings } from './standinSettings.js';

/** Reads and checks an instance's settings file. */
export function tryReadStandinSettings(file: string): Result<StandinSettings, Fault> {
  let document: unknown;
  try {
    document = parse(readFileSync(file, 'utf8'));
  } catch (cause) {
    return err(settingsFault(file, '', cause instanceof Error ? cause.message : String(cause)));
  }
  const checked = standinSettingsSchema.safeParse(document);
  if (!checked.success) {
    const issue = checked.error.issues[0];
    return err(settingsFault(file, issue?.path.join('.') ?? '', issue?.message ?? ''));
  }
  return ok(checked.data);
}

function settingsFault(file: string, key: string, expected: string): Fault {
  const context = { step: 'standin.settings', peer: file };
  return createFault(Diagnostics.StandinSettingsInvalid, { file, key, expected }, context);
}
