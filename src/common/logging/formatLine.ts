import type { LogFields } from './logFields.js';

/** Maximum length of a value, in UTF-16 code units; longer values are truncated. */
export const MAXIMUM_VALUE_LENGTH = 2_000;

const PLAIN = /^[^\s"=\p{C}]+$/u;
const UNSAFE = /[\p{C}\p{Zl}\p{Zp}]/gu;
const TRUNCATION_MARK = '…';

/**
 * Formats fields as `key=value` pairs on one line. Values that are empty or contain spaces, quotes,
 * equals signs or non-printing characters are written as JSON strings with the latter escaped.
 */
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
  const truncated =
    value.length > MAXIMUM_VALUE_LENGTH
      ? `${value.slice(0, MAXIMUM_VALUE_LENGTH)}${TRUNCATION_MARK}`
      : value;
  return PLAIN.test(truncated)
    ? truncated
    : JSON.stringify(truncated).replace(UNSAFE, escapeCharacter);
}

function escapeCharacter(character: string): string {
  return Array.from({ length: character.length }, (_, index) => {
    const code = character.charCodeAt(index).toString(16).padStart(4, '0');
    return `\\u${code}`;
  }).join('');
}
