/** A command about the session or its transaction rather than about data. */
export type SessionCommand =
  | { readonly kind: 'begin'; readonly isReadOnly: boolean }
  | { readonly kind: 'commit' }
  | { readonly kind: 'rollback' }
  | {
      readonly kind: 'set';
      readonly name: string;
      readonly value: string | undefined;
      readonly isLocal: boolean;
    }
  | { readonly kind: 'show'; readonly name: string }
  | { readonly kind: 'reset'; readonly name: string | undefined }
  | { readonly kind: 'discard' }
  | { readonly kind: 'deallocate'; readonly name: string | undefined };

type Reader = (match: RegExpExecArray) => SessionCommand;

const NAME = '([a-z_][\\w$]*(?:\\.[a-z_][\\w$]*)*)';

const READERS: readonly (readonly [RegExp, Reader])[] = [
  [/^(?:begin|start\s+transaction)\b(.*)$/is, readBegin],
  [/^(?:commit|end)(?:\s+(?:work|transaction))?$/i, () => ({ kind: 'commit' })],
  [/^(?:rollback|abort)(?:\s+(?:work|transaction))?$/i, () => ({ kind: 'rollback' })],
  [/^set\s+(session\s+|local\s+)?time\s+zone\s+(.+)$/is, (match) => readSet(match, 'timezone')],
  [
    new RegExp(`^set\\s+(session\\s+|local\\s+)?${NAME}\\s*(?:=|\\sto\\s)\\s*(.+)$`, 'is'),
    (match) => readSet(match),
  ],
  [/^show\s+transaction\s+isolation\s+level$/i, () => showOf('transaction_isolation')],
  [/^show\s+time\s+zone$/i, () => showOf('timezone')],
  [new RegExp(`^show\\s+${NAME}$`, 'i'), (match) => showOf(match[1] ?? '')],
  [/^reset\s+all$/i, () => ({ kind: 'reset', name: undefined })],
  [
    new RegExp(`^reset\\s+${NAME}$`, 'i'),
    (match) => ({ kind: 'reset', name: (match[1] ?? '').toLowerCase() }),
  ],
  [/^discard\s+all$/i, () => ({ kind: 'discard' })],
  [/^deallocate\s+(?:prepare\s+)?all$/i, () => ({ kind: 'deallocate', name: undefined })],
  [
    /^deallocate\s+(?:prepare\s+)?"?(\w+)"?$/i,
    (match) => ({ kind: 'deallocate', name: match[1] ?? '' }),
  ],
];

/** Reads a session command; absent when the text is something else. */
export function tryReadSessionCommand(text: string): SessionCommand | undefined {
  for (const [pattern, read] of READERS) {
    const match = pattern.exec(text);
    if (match !== null) {
      return read(match);
    }
  }
  return undefined;
}

function showOf(name: string): SessionCommand {
  return { kind: 'show', name: name.toLowerCase() };
}

function readBegin(match: RegExpExecArray): SessionCommand {
  return { kind: 'begin', isReadOnly: /\bread\s+only\b/i.test(match[1] ?? '') };
}

function readSet(match: RegExpExecArray, fixedName?: string): SessionCommand {
  const isLocal = (match[1] ?? '').trim().toLowerCase() === 'local';
  const name = fixedName ?? (match[2] ?? '').toLowerCase();
  const text = (fixedName === undefined ? match[3] : match[2]) ?? '';
  return { kind: 'set', name, value: readSetValue(text.trim()), isLocal };
}

function readSetValue(text: string): string | undefined {
  if (/^default$/i.test(text)) {
    return undefined;
  }
  const quoted = /^'((?:[^']|'')*)'$/.exec(text) ?? /^"((?:[^"]|"")*)"$/.exec(text);
  return quoted === null ? text : (quoted[1] ?? '').replaceAll("''", "'");
}
