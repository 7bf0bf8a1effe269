import { err, ok, type Result } from 'neverthrow';
import { parse, TomlError } from 'smol-toml';
import type { z } from 'zod';
import { KeyLines } from './keyLines.js';
import { describeIssues } from './schemaProblems.js';
import type { SettingsProblem } from './settingsProblem.js';
import type { SettingsRule } from './settingsRule.js';
import { SettingsView } from './settingsView.js';

const MAXIMUM_PROBLEMS = 100;

/** Maximum size of a settings file, in bytes. */
export const MAXIMUM_SETTINGS_BYTES = 1_048_576;

/** Checks a settings text against a schema and the rules between keys; returns all problems. */
export function tryCheckSettings<Value>(
  text: string,
  schema: z.ZodType<Value>,
  rules: readonly SettingsRule[],
): Result<Value, readonly SettingsProblem[]> {
  const document = tryParseDocument(text);
  if (document.isErr()) {
    return err(document.error);
  }
  const view = new SettingsView(document.value);
  const checked = schema.safeParse(document.value);
  const schemaProblems = checked.success ? [] : describeIssues(schema, checked.error.issues, view);
  const brokenRules = rules.filter((rule) => rule.isBroken(view));
  const problems = [
    ...schemaProblems,
    ...brokenRules.map(({ key, expected }) => ({ key, expected })),
  ];
  return checked.success && problems.length === 0
    ? ok(checked.data)
    : err(limitProblems(addLines(problems, text)));
}

function limitProblems(problems: readonly SettingsProblem[]): readonly SettingsProblem[] {
  const omittedCount = problems.length - MAXIMUM_PROBLEMS;
  return omittedCount <= 0
    ? problems
    : [
        ...problems.slice(0, MAXIMUM_PROBLEMS),
        { key: '', expected: `${omittedCount} more problems` },
      ];
}

/** Adds the line of its key to each problem and sorts the problems by line. */
export function addLines(
  problems: readonly SettingsProblem[],
  text: string,
): readonly SettingsProblem[] {
  const lines = new KeyLines(text);
  const located = problems.map((problem) => {
    const line = lines.get(problem.key);
    return line === undefined ? problem : { ...problem, line };
  });
  return located.sort((left, right) => (left.line ?? 0) - (right.line ?? 0));
}

function tryParseDocument(text: string): Result<unknown, readonly SettingsProblem[]> {
  if (Buffer.byteLength(text) > MAXIMUM_SETTINGS_BYTES) {
    return err([{ key: '', expected: `expected at most ${MAXIMUM_SETTINGS_BYTES} bytes` }]);
  }
  try {
    return ok(parse(text));
  } catch (cause) {
    return err([describeSyntaxProblem(cause)]);
  }
}

/** Keeps only the first line of the message: the others quote the file, which may hold a secret. */
function describeSyntaxProblem(cause: unknown): SettingsProblem {
  const message = cause instanceof Error ? cause.message : String(cause);
  const problem = { key: '', expected: message.split('\n')[0] ?? '' };
  return cause instanceof TomlError ? { ...problem, line: cause.line } : problem;
}
