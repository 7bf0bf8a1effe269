import type { z } from 'zod';
import { findNearestKey } from './nearestKey.js';
import { createSchemaNode, findSchemaNode, type SchemaNode } from './schemaNode.js';
import type { SettingsProblem } from './settingsProblem.js';
import type { SettingsView } from './settingsView.js';

type Issue = z.core.$ZodIssue;

const TYPE_NAMES: Readonly<Record<string, string>> = {
  string: 'a string',
  number: 'a number',
  int: 'an integer',
  integer: 'an integer',
  boolean: 'true or false',
  array: 'an array',
  object: 'a table',
};

const PLAIN_KEY = /^[A-Za-z0-9_-]{1,63}$/;
const MAXIMUM_KEY_LENGTH = 63;

const UNIT_NAMES: Readonly<Record<string, string>> = { string: 'character', array: 'element' };

/** Converts the issues of a schema to problems: each key with the expected value. */
export function describeIssues(
  schema: z.ZodType,
  issues: readonly Issue[],
  view: SettingsView,
): readonly SettingsProblem[] {
  const root = createSchemaNode(schema);
  return issues.flatMap((issue) =>
    issue.code === 'unrecognized_keys'
      ? describeUnknownKeys(issue.path, issue.keys, findSchemaNode(root, issue.path))
      : [{ key: joinPath(issue.path), expected: describeIssue(issue, root, view) }],
  );
}

function describeType(type: string): string {
  return TYPE_NAMES[type] ?? type;
}

/** Names the kind of value that a schema node accepts, such as `a string`. */
export function describeKind(node: SchemaNode | undefined): string {
  return node?.title ?? describeType(node?.type ?? 'a value');
}

function describeIssue(issue: Issue, root: SchemaNode, view: SettingsView): string {
  const node = findSchemaNode(root, issue.path);
  if (!view.has(joinPath(issue.path))) {
    const meaning = node?.description === undefined ? '' : `: ${node.description}`;
    return `missing; expected ${describeKind(node)}${meaning}`;
  }
  switch (issue.code) {
    case 'invalid_type':
      return `expected ${describeType(issue.expected)}`;
    case 'invalid_value':
      return `expected ${issue.values.map((value) => `"${String(value)}"`).join(' or ')}`;
    case 'too_small':
      return `expected ${describeBound('at least', issue.minimum, issue.origin)}`;
    case 'too_big':
      return `expected ${describeBound('at most', issue.maximum, issue.origin)}`;
    default:
      return issue.message;
  }
}

function describeBound(relation: string, bound: number | bigint, origin: string): string {
  const unit = UNIT_NAMES[origin];
  const plural = Number(bound) === 1 ? '' : 's';
  return unit === undefined ? `${relation} ${bound}` : `${relation} ${bound} ${unit}${plural}`;
}

function describeUnknownKeys(
  path: readonly PropertyKey[],
  keys: readonly string[],
  node: SchemaNode | undefined,
): readonly SettingsProblem[] {
  const known = Object.keys(node?.properties ?? {});
  return keys.map((key) => {
    const nearest = findNearestKey(key, known);
    const hint =
      nearest === undefined ? `expected one of ${known.join(', ')}` : `expected ${nearest}?`;
    return { key: joinPath([...path, key]), expected: `unknown key; ${hint}` };
  });
}

function joinPath(path: readonly PropertyKey[]): string {
  return path.map((part) => formatKey(String(part))).join('.');
}

/** Quotes and truncates a key from an untrusted file so that it is short and printable. */
function formatKey(key: string): string {
  return PLAIN_KEY.test(key) ? key : JSON.stringify(key.slice(0, MAXIMUM_KEY_LENGTH));
}
