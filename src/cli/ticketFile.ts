import { readFile } from 'node:fs/promises';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { parse } from 'smol-toml';
import { tryDecodeText } from '../common/decodeText.js';
import { Diagnostics } from '../common/diagnostics/index.js';
import { createFailure, type CommandFailure } from './commandFailure.js';
import type { CommandOutcome } from './commandOutcome.js';
import { ExitStatus } from './exitStatus.js';
import type { Terminal } from './terminal.js';

const STEP = 'ticket.file';
/** The argument `-` as yargs hands it on. */
const STANDARD_INPUT = '';

/** A ticket as written in a file; the daemon checks it further. */
export interface TicketDocument {
  readonly number?: unknown;
  readonly subjects?: unknown;
}

/** Reads a ticket in JSON or TOML from a file, or from standard input when it was given as `-`. */
export function readTicketFile(file: string, terminal: Terminal): CommandOutcome<TicketDocument> {
  const text = file === STANDARD_INPUT ? terminal.readInput() : readText(file);
  return ResultAsync.fromPromise(text, (cause) =>
    createFailure(
      ExitStatus.BadInput,
      Diagnostics.FileUnreadable,
      { file, problem: getMessage(cause) },
      STEP,
    ),
  ).andThen((read) => tryParseTicketText(file, read));
}

async function readText(file: string): Promise<string> {
  const text = tryDecodeText(await readFile(file));
  if (text === undefined) {
    throw new Error('it is not valid UTF-8');
  }
  return text;
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
    const problem = getMessage(cause).split('\n')[0] ?? '';
    const values = { file, problem };
    return err(createFailure(ExitStatus.BadInput, Diagnostics.FileUnreadable, values, STEP));
  }
}

function getMessage(cause: unknown): string {
  return cause instanceof Error ? cause.message : String(cause);
}
