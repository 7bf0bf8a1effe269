import { err, ok, type Result } from 'neverthrow';

/** Bounds of a JSON text from outside. */
export interface JsonLimits {
  /** Arrays and objects inside one another. */
  readonly maximumDepth: number;
  /** Values and names in all; each takes many times the memory of its text. */
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

/**
 * Parses a JSON text whose bounds are checked before memory is taken for its values; the error says
 * what is wrong with it.
 */
export function tryParseJson(text: string, limits: JsonLimits): Result<unknown, string> {
  const excess = findExcess(text, limits);
  if (excess !== undefined) {
    return err(excess);
  }
  try {
    return ok(JSON.parse(text) as unknown);
  } catch (cause) {
    return err(cause instanceof Error ? cause.message : String(cause));
  }
}

function findExcess(text: string, limits: JsonLimits): string | undefined {
  const { maximumDepth, maximumValues } = limits;
  let depth = 0;
  let values = 1;
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index);
    if (code === Code.Quote) {
      index = findTextEnd(text, index + 1);
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

/** The place of the quote that ends a text; the end of all when there is none. */
function findTextEnd(text: string, start: number): number {
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
