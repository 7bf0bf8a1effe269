import { open } from 'node:fs/promises';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { parse, TomlError } from 'smol-toml';
import { tryDecodeText } from '../common/decodeText.js';
import { Diagnostics } from '../common/diagnostics/index.js';
import { createFailure, type CommandFailure } from './commandFailure.js';
import type { CommandOutcome } from './commandOutcome.js';
import { ExitStatus } from './exitStatus.js';
import type { Terminal } from './terminal.js';

const STEP = 'ticket.file';
/** The argument `-` as yargs hands it on. */
const STANDARD_INPUT = '';
/** Maximum size of a file; a larger ticket is accepted nowhere. */
const MAXIMUM_FILE_BYTES = 16_777_216;

/** A ticket as written in a file; the daemon checks it further. */
export interface TicketDocument {
  readonly number?: unknown;
  readonly subjects?: unknown;
}

/** Reads a ticket in JSON or TOML from a file, or from standard input when it was given as `-`. */
export function readTicketFile(file: string, terminal: Terminal): CommandOutcome<TicketDocument> {
  return readFileText(file, terminal).andThen((text) => tryParseTicketText(file, text));
}

/** Reads the text of a file, or of standard input when it was given as `-`. */
export function readFileText(file: string, terminal: Terminal): CommandOutcome<string> {
  const text = isStandardInput(file) ? readInput(terminal) : readText(file);
  return ResultAsync.fromPromise(text, (cause) => createFileFailure(file, getMessage(cause)));
}

/** Whether a file argument stands for standard input. */
export function isStandardInput(file: string): boolean {
  return file === STANDARD_INPUT || file === '-';
}

/** Creates the failure of a command whose file cannot be read or is not valid. */
export function createFileFailure(file: string, problem: string): CommandFailure {
  const values = { file: formatFileName(file), problem };
  return createFailure(ExitStatus.BadInput, Diagnostics.FileUnreadable, values, STEP);
}

/** Formats a file argument for messages. */
export function formatFileName(file: string): string {
  return isStandardInput(file) ? 'standard input' : file;
}

async function readInput(terminal: Terminal): Promise<string> {
  const text = await terminal.readInput();
  checkSize(Buffer.byteLength(text));
  return text;
}

async function readText(file: string): Promise<string> {
  const handle = await open(file);
  try {
    checkSize((await handle.stat()).size);
    const bytes = await handle.readFile();
    // The size of a pipe is not known before it was read.
    checkSize(bytes.length);
    const text = tryDecodeText(bytes);
    if (text === undefined) {
      throw new Error('it is not valid UTF-8');
    }
    return text;
  } finally {
    await handle.close();
  }
}

function checkSize(bytes: number): void {
  if (bytes > MAXIMUM_FILE_BYTES) {
    throw new Error(`it is larger than ${MAXIMUM_FILE_BYTES} bytes`);
  }
}

/** Parses a ticket's text: JSON when it begins with a brace, else TOML. */
export function tryParseTicketText(
  file: string,
  text: string,
): Result<TicketDocument, CommandFailure> {
  try {
    const document: unknown = text.trimStart().startsWith('{') ? JSON.parse(text) : parse(text);
    return ok(document as TicketDocument);
  } catch (cause) {
    return err(createFileFailure(file, describeSyntaxError(cause, text)));
  }
}

/** Describes a syntax error with its position, if known, and without the text around it. */
function describeSyntaxError(cause: unknown, text: string): string {
  if (cause instanceof TomlError) {
    const problem = cause.message.split('\n')[0] ?? '';
    return `${problem} (line ${cause.line}, column ${cause.column})`;
  }
  // The engine quotes the text around an unexpected token, which may be a key.
  const problem = getMessage(cause).replace(/, (?:\.\.\.)?".*$/s, '');
  const found = /^(?<before>.*?)(?: in JSON)? at position (?<index>\d+)/.exec(problem)?.groups;
  if (found === undefined) {
    return `it is not valid JSON: ${problem}`;
  }
  const lines = text.slice(0, Number(found.index)).split('\n');
  const place = `line ${lines.length}, column ${(lines.at(-1)?.length ?? 0) + 1}`;
  return `it is not valid JSON: ${found.before} (${place})`;
}

function getMessage(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}
