import { Parser } from 'pg-protocol/dist/parser.js';
import { toTerm } from '../../common/ids/index.js';
import { tryParseLogPosition } from '../../common/logPosition.js';
import type { ProbeAnswer } from '../backend/index.js';

/** A row in text form. */
interface Row {
  readonly fields: readonly (string | null)[];
}

/** Reads the row of a position query among backend frames; undefined when there is none. */
export function readPosition(bytes: Buffer): ProbeAnswer | undefined {
  let answer: ProbeAnswer | undefined;
  new Parser().parse(bytes, (message) => {
    if (message.name === 'dataRow') {
      answer = toProbeAnswer((message as unknown as Row).fields);
    }
  });
  return answer;
}

/** Converts recovery state, position and term in text form; undefined when the position is none. */
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
