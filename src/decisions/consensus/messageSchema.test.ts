import fc from 'fast-check';
import { pack, unpack } from 'msgpackr';
import { expect, test } from 'vitest';
import { z } from 'zod';
import { faultSchedule, runSchedule } from '../../../tests/support/consensus/faultAction.js';
import type { SimulatedHost } from '../../../tests/support/consensus/simulatedHost.js';
import { Simulation } from '../../../tests/support/consensus/simulation.js';
import {
  createMessageSchema,
  InputKind,
  MessageKind,
  type ConsensusInput,
  type ConsensusMessage,
} from './index.js';

const SEED = 20261204;
const schema = createMessageSchema(z.string());

class RecordingSimulation extends Simulation {
  readonly messages = new Map<MessageKind, ConsensusMessage<string>>();

  override input(host: SimulatedHost, input: ConsensusInput<string>): void {
    if (input.kind === InputKind.Receive) {
      expect(schema.parse(unpack(pack(input.message)))).toEqual(toPlain(input.message));
      this.messages.set(input.message.kind, input.message);
    }
    super.input(host, input);
  }
}

function toPlain(message: ConsensusMessage<string>): unknown {
  return message.kind === MessageKind.SnapshotRequest
    ? { ...message, snapshot: { ...message.snapshot, state: Buffer.from(message.snapshot.state) } }
    : message;
}

test('the schema accepts every message that members send, but not with an invalid or unknown field', () => {
  const settings = { snapshotEntries: 40, trailingEntries: 10 };
  const seen = new Set<MessageKind>();
  const property = fc.property(fc.integer(), faultSchedule, (seed, schedule) => {
    const simulation = new RecordingSimulation({ seed, hostCount: 3, settings });
    runSchedule(simulation, schedule);
    for (const [kind, message] of simulation.messages) {
      seen.add(kind);
      expect(schema.safeParse({ ...message, term: -1 }).success).toBe(false);
      expect(schema.safeParse({ ...message, from: '' }).success).toBe(false);
      expect(schema.safeParse({ ...message, more: 1 }).success).toBe(false);
    }
  });
  fc.assert(property, { seed: SEED, numRuns: 10 });
  expect([...seen].sort()).toEqual(Object.values(MessageKind).sort());
});

test('the schema refuses entries that are not contiguous', () => {
  const entry = { kind: 'empty', index: 5, term: 2 };
  const request = {
    kind: 'append-request',
    from: 'a',
    to: 'b',
    term: 3,
    round: 1,
    sentMs: 0.5,
    previousIndex: 4,
    previousTerm: 2,
    entries: [entry],
    commitIndex: 0,
  };
  expect(schema.safeParse(request).success).toBe(true);
  expect(schema.safeParse({ ...request, previousIndex: 3 }).success).toBe(false);
  expect(schema.safeParse({ ...request, previousTerm: 3 }).success).toBe(false);
  expect(schema.safeParse({ ...request, term: 1 }).success).toBe(false);
});

test('the schema refuses arbitrary values without throwing', () => {
  const kind = fc.constantFrom(...Object.values(MessageKind));
  const anyFields = fc.dictionary(fc.string(), fc.anything());
  const property = fc.property(fc.anything(), kind, anyFields, (value, messageKind, fields) => {
    expect(schema.safeParse(value).success).toBe(false);
    expect(schema.safeParse({ ...fields, kind: messageKind }).success).toBe(false);
  });
  fc.assert(property, { seed: SEED, numRuns: 500 });
});
