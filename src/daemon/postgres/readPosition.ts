import { Parser } from 'pg-protocol/dist/parser.js';
import { toTerm } from '../../common/ids/index.js';
import { tryParseLogPosition } from '../../common/logPosition.js';
import type { ProbeAnswer } from '../backend/index.js';

/** A data row whose fields are in text format. */
interface Row {
  readonly fields: readonly (string | null)[];
}

/** Parses the data row of a position query's answer; undefined if the frames contain none. */
export function readPosition(bytes: Buffer): ProbeAnswer | undefined {
  let answer: ProbeAnswer | undefined;
  new Parser().parse(bytes, (message) => {
    if (message.name === 'dataRow') {
      answer = toProbeAnswer((message as unknown as Row).fields);
    }
  });
  return answer;
}

/**
 * Converts a row of recovery state, log position and term; undefined if the position is invalid.
 */
export function toProbeAnswer(fields: readonly unknown[]): ProbeAnswer | undefined {
  const [inRecovery, text, term] = fields;
  const position = tryParseLogPosition(String(text));
  if (position.isErr()) {
    return undefined;
  }
  return {
    isPrimary: !String(inRecovery).startsWith('t'),
    term: toTerm(Number(term)),
    position: position.value,
    received: position.value,
  };
}
