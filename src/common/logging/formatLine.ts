import type { LogFields } from './logFields.js';

const PLAIN = /^[^\s"=]+$/;

/** Formats fields as `key=value` pairs; values with spaces or quotes are quoted. */
export function formatLine(fields: LogFields): string {
  const pairs: string[] = [];
  for (const [key, value] of Object.entries(fields)) {
    if (value !== undefined) {
      pairs.push(`${key}=${formatValue(String(value))}`);
    }
  }
  return pairs.join(' ');
}

function formatValue(value: string): string {
  return PLAIN.test(value) ? value : JSON.stringify(value);
}
