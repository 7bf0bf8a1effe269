import { err, ok, type Result } from 'neverthrow';

/** Limits on a JSON text from an untrusted source. */
export interface JsonLimits {
  /** Maximum nesting depth of arrays and objects. */
  readonly maximumDepth: number;
  /** Maximum total of values and names; each takes many times the memory of its text. */
  readonly maximumValues: number;
}

const Code = {
  Quote: 0x22,
  Comma: 0x2c,
  Colon: 0x3a,
  OpenBracket: 0x5b,
  Backslash: 0x5c,
  CloseBracket: 0x5d,
  OpenBrace: 0x7b,
  CloseBrace: 0x7d,
} as const;

const SURROGATE_ESCAPE = /\\u[dD]/;
/** An escape of a surrogate; an escaped backslash before `ud` begins none. */
const WRITTEN_SURROGATE = /(?:^|[^\\])(?:\\\\)*\\ud/;

/**
 * Parses a JSON text. The limits are checked before memory is allocated for the values; the error
 * describes the problem.
 */
export function tryParseJson(text: string, limits: JsonLimits): Result<unknown, string> {
  const exceededLimit = findExceededLimit(text, limits);
  if (exceededLimit !== undefined) {
    return err(exceededLimit);
  }
  try {
    const value: unknown = JSON.parse(text);
    return SURROGATE_ESCAPE.test(text) && hasUnpairedSurrogate(value)
      ? err('a text contains half of a character')
      : ok(value);
  } catch (cause) {
    return err(cause instanceof Error ? cause.message : String(cause));
  }
}

/**
 * Whether a text in a value contains half of a character, as the escape `\\ud800` stands for. It has no
 * encoding in bytes, so that different texts with one would be taken for the same.
 */
function hasUnpairedSurrogate(value: unknown): boolean {
  // Surrogates that are paired are written as they are.
  return WRITTEN_SURROGATE.test(JSON.stringify(value));
}

function findExceededLimit(text: string, limits: JsonLimits): string | undefined {
  const { maximumDepth, maximumValues } = limits;
  let depth = 0;
  let values = 1;
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index);
    if (code === Code.Quote) {
      index = findStringEnd(text, index + 1);
    } else if (code === Code.OpenBracket || code === Code.OpenBrace) {
      depth += 1;
      values += 1;
    } else if (code === Code.CloseBracket || code === Code.CloseBrace) {
      depth -= 1;
    } else if (code === Code.Comma || code === Code.Colon) {
      values += 1;
    }
    if (depth > maximumDepth) {
      return `nested deeper than ${maximumDepth}`;
    }
    if (values > maximumValues) {
      return `more than ${maximumValues} values`;
    }
  }
  return undefined;
}

/** Returns the index of the closing quote of a string, or one past the text if there is none. */
function findStringEnd(text: string, start: number): number {
  let index = start;
  while (index < text.length) {
    const code = text.charCodeAt(index);
    if (code === Code.Quote) {
      return index;
    }
    index += code === Code.Backslash ? 2 : 1;
  }
  return index;
}
