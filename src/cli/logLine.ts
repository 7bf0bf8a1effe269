/** One line of a log as pairs. */
export interface LogLine {
  readonly time: string;
  readonly fields: ReadonlyMap<string, string>;
}

const PAIR = /([A-Za-z][\w.]*)=("(?:[^"\\]|\\.)*"|[^\s"=]+)(?:\s+|$)/y;

/**
 * Reads a line of key=value pairs; undefined for one that is none. What stands before the first pair
 * is left out: collectors put their own time and the host there.
 */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.search(/(?:^|\s)time=\S/);
  if (start < 0) {
    return undefined;
  }
  const fields = new Map<string, string>();
  PAIR.lastIndex = start + (/\s/.test(text[start] ?? '') ? 1 : 0);
  while (PAIR.lastIndex < text.length) {
    const match = PAIR.exec(text);
    if (match === null) {
      return undefined;
    }
    const value = parseValue(match[2] ?? '');
    if (value === undefined) {
      return undefined;
    }
    fields.set(match[1] ?? '', value);
  }
  const time = fields.get('time');
  return time === undefined || Number.isNaN(Date.parse(time)) ? undefined : { time, fields };
}

function parseValue(text: string): string | undefined {
  if (!text.startsWith('"')) {
    return text;
  }
  try {
    return String(JSON.parse(text));
  } catch {
    // The line was cut inside the value.
    return undefined;
  }
}
