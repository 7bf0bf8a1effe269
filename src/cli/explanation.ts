import { parseLogLine, type LogLine } from './logLine.js';

/** How long before a request's first line a change may be what decided it. */
const CONTEXT_MS = 3000;
/** Fields of a request's lines that name what its decisions were about. */
const SUBJECT_FIELDS = ['group', 'account', 'holder', 'instance', 'primary', 'host'];
/** Fields that stand at the beginning of each printed line. */
const HEAD_FIELDS = new Set(['time', 'level', 'host', 'code', 'message', 'domain', 'role']);

/** A text that could not be read as a line of a log. */
export interface UnreadLine {
  readonly file: string;
  readonly number: number;
}

/** What the logs tell of one request. */
export interface Explanation {
  /** The request's own lines, and changes that concern what it was decided on, in order of time. */
  readonly lines: readonly LogLine[];
  readonly requestLines: number;
  readonly unread: readonly UnreadLine[];
}

/** A log as text. */
export interface LogText {
  readonly file: string;
  readonly text: string;
}

/** Finds all that the logs of several hosts tell of one request. */
export function explainRequest(id: string, logs: readonly LogText[]): Explanation {
  const unread: UnreadLine[] = [];
  const all: LogLine[] = [];
  for (const { file, text } of logs) {
    for (const [index, line] of text.split('\n').entries()) {
      const parsed = line.trim() === '' ? undefined : parseLogLine(line);
      if (parsed !== undefined) {
        all.push(parsed);
      } else if (line.trim() !== '') {
        unread.push({ file, number: index + 1 });
      }
    }
  }
  const own = all.filter(({ fields }) => isAbout(fields, id));
  const lines = [...own, ...findContext(own, all)].sort(
    (left, right) => Date.parse(left.time) - Date.parse(right.time),
  );
  return { lines, requestLines: own.length, unread };
}

/** Formats an explanation for reading. */
export function formatExplanation({ lines }: Explanation, id: string): string {
  return lines
    .map(({ time, fields }) => {
      const mark = isAbout(fields, id) ? '*' : ' ';
      const head = `${mark} ${time} ${fields.get('host') ?? '?'} ${fields.get('code') ?? ''}`;
      const rest = [...fields]
        .filter(([name]) => !HEAD_FIELDS.has(name))
        .map(([name, value]) => `${name}=${value}`);
      return `${head} ${fields.get('message') ?? ''}\n      ${rest.join(' ')}\n`;
    })
    .join('');
}

function isAbout(fields: LogLine['fields'], id: string): boolean {
  return fields.get('request') === id || fields.get('attempt') === id;
}

/** Lines about no request that concern what the request's lines name, from shortly before to its end. */
function findContext(own: readonly LogLine[], all: readonly LogLine[]): readonly LogLine[] {
  const times = own.map(({ time }) => Date.parse(time));
  const fromMs = Math.min(...times) - CONTEXT_MS;
  const toMs = Math.max(...times);
  const subjects = new Set(
    own.flatMap(({ fields }) => SUBJECT_FIELDS.map((name) => fields.get(name) ?? '')),
  );
  subjects.delete('');
  return all.filter(({ time, fields }) => {
    const atMs = Date.parse(time);
    if (fields.has('request') || atMs < fromMs || atMs > toMs) {
      return false;
    }
    const message = fields.get('message') ?? '';
    return [...subjects].some((subject) => message.includes(`"${subject}"`));
  });
}
