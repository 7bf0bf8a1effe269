const BARE_KEY = /^[A-Za-z0-9_-]+$/;
const MULTILINE_QUOTES = ['"""', "'''"];

/**
 * Maps the keys of a TOML text to their lines. The parts of a key are joined by dots, and a table
 * of an array has its index as one part: `control.members.0.host`.
 */
export class KeyLines {
  private readonly lines = new Map<string, number>();
  private readonly arrayIndexes = new Map<string, number>();
  private table = '';
  private openQuotes: string | undefined;

  constructor(text: string) {
    for (const [index, line] of text.split('\n').entries()) {
      this.readLine(line.trim(), index + 1);
    }
  }

  /** Returns the line of a key or, if unknown, of the innermost enclosing table with a line. */
  get(key: string): number | undefined {
    for (let path = key; path !== ''; path = path.slice(0, Math.max(0, path.lastIndexOf('.')))) {
      const line = this.lines.get(path);
      if (line !== undefined) {
        return line;
      }
    }
    return undefined;
  }

  private readLine(line: string, number: number): void {
    if (this.openQuotes !== undefined) {
      this.openQuotes = line.includes(this.openQuotes) ? undefined : this.openQuotes;
    } else if (line.startsWith('[')) {
      this.readHeader(line, number);
    } else {
      this.readAssignment(line, number);
    }
  }

  private readHeader(line: string, number: number): void {
    const isArray = line.startsWith('[[');
    const parts = splitKey(line.slice(isArray ? 2 : 1, Math.max(0, line.indexOf(']'))));
    if (parts === undefined) {
      return;
    }
    this.table = this.resolve('', isArray ? parts.slice(0, -1) : parts);
    if (isArray) {
      const path = join(this.table, parts.at(-1) ?? '');
      const index = (this.arrayIndexes.get(path) ?? -1) + 1;
      this.arrayIndexes.set(path, index);
      this.lines.set(path, this.lines.get(path) ?? number);
      this.table = join(path, String(index));
    }
    this.lines.set(this.table, number);
  }

  private readAssignment(line: string, number: number): void {
    const equals = line.indexOf('=');
    const parts = equals < 0 ? undefined : splitKey(line.slice(0, equals));
    if (parts === undefined) {
      return;
    }
    this.lines.set(this.resolve(this.table, parts), number);
    const value = line.slice(equals + 1);
    this.openQuotes = MULTILINE_QUOTES.find((quotes) => value.split(quotes).length === 2);
  }

  /** Appends parts to a path; the name of an array of tables resolves to its latest table. */
  private resolve(start: string, parts: readonly string[]): string {
    let path = start;
    for (const part of parts) {
      path = join(path, part);
      const index = this.arrayIndexes.get(path);
      path = index === undefined ? path : join(path, String(index));
    }
    return path;
  }
}

function join(path: string, part: string): string {
  return path === '' ? part : `${path}.${part}`;
}

/** Splits a dotted key; undefined if it is malformed. Quoted parts with dots are not supported. */
function splitKey(text: string): readonly string[] | undefined {
  const parts = text.split('.').map((part) => part.trim().replace(/^(["'])(.*)\1$/, '$2'));
  const isKey = parts.every((part) => BARE_KEY.test(part));
  return isKey ? parts : undefined;
}
