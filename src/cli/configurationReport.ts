import {
  Severity,
  type Difference,
  type FieldChange,
  type FieldValue,
  type Finding,
} from '../decisions/configuration/index.js';
import { formatTable } from './table.js';

/** Rows that are printed; the JSON output has all of them. */
const MAXIMUM_ROWS = 1000;
const SHOWN_ELEMENTS = 5;
const CONTROL_CHARACTERS = /\p{Cc}+/gu;

/** What the check of a file gave. */
export interface ConfigurationReport {
  readonly file: string;
  readonly findings: readonly Finding[];
  /** Undefined if nothing was compared. */
  readonly differences: readonly Difference[] | undefined;
  /** Why parts of the check were omitted, one sentence each. */
  readonly notes: readonly string[];
}

/** Formats findings and differences as one table; empty if there are none. */
export function formatFindings({ findings, differences = [] }: ConfigurationReport): string {
  const count = findings.length + differences.length;
  if (count === 0) {
    return '';
  }
  const rows = [
    ...findings
      .slice(0, MAXIMUM_ROWS)
      .map(({ severity, code, subject, sentence }) => [severity, `FP${code}`, subject, sentence]),
    ...differences
      .slice(0, Math.max(0, MAXIMUM_ROWS - findings.length))
      .map(({ change, subject, fields }) => [change, undefined, subject, formatFields(fields)]),
  ].map((row) => row.map((cell) => cell?.replace(CONTROL_CHARACTERS, '?')));
  const rest = count - rows.length;
  const table = formatTable(['WHAT', 'CODE', 'SUBJECT', 'SENTENCE'], rows);
  return rest === 0 ? table : `${table}${rest} more rows are printed with --json.\n`;
}

/** Counts findings and differences in words. */
export function summarize({ findings, differences }: ConfigurationReport): string {
  const errors = findings.filter(({ severity }) => severity === Severity.Error).length;
  const compared = differences === undefined ? [] : [countNoun(differences.length, 'difference')];
  return [
    countNoun(errors, 'error'),
    countNoun(findings.length - errors, 'warning'),
    ...compared,
  ].join(', ');
}

function countNoun(count: number, noun: string): string {
  return `${count} ${noun}${count === 1 ? '' : 's'}`;
}

function formatFields(fields: readonly FieldChange[]): string | undefined {
  return fields.length === 0 ? undefined : fields.map((each) => formatField(each)).join('; ');
}

function formatField({ field, old, new: next }: FieldChange): string {
  const isList = Array.isArray(old) && Array.isArray(next);
  return isList
    ? `${field}: ${formatListChange(old as string[], next as string[])}`
    : `${field}: ${formatValue(old)} -> ${formatValue(next)}`;
}

function formatListChange(old: readonly string[], next: readonly string[]): string {
  const [before, after] = [new Set(old), new Set(next)];
  const changes = [
    ...old.filter((value) => !after.has(value)).map((value) => `without ${value}`),
    ...next.filter((value) => !before.has(value)).map((value) => `with ${value}`),
  ];
  return joinFirst(changes);
}

function formatValue(value: FieldValue | undefined): string {
  if (value === undefined) {
    return 'none';
  }
  return typeof value === 'object' ? `[${joinFirst(value)}]` : String(value);
}

function joinFirst(values: readonly string[]): string {
  const rest = values.length - SHOWN_ELEMENTS;
  const shown = values.slice(0, SHOWN_ELEMENTS).join(', ');
  return rest > 0 ? `${shown} and ${rest} more` : shown;
}
