import { ok, type Result } from 'neverthrow';
import { expect, test } from 'vitest';
import type { Fault } from '../../common/diagnostics/index.js';
import { toRevision, toTicketNumber } from '../../common/ids/index.js';
import { runSteps } from '../../common/tasks/index.js';
import {
  CommandKind,
  ControlState,
  TicketOutcome,
  type Command,
  type CommandAnswer,
} from '../../decisions/control/index.js';
import { getContentHash, SubjectKind, type Ticket } from '../../decisions/tickets/index.js';
import { packTicketInSteps, tryUnpackTicket } from './ticketPacking.js';
import { TicketSubmissions } from './ticketSubmissions.js';

function createTicket(number: number, routeCount: number): Ticket {
  const routes = Array.from({ length: routeCount }, (_, index) => ({
    ...{ kind: SubjectKind.Route, route: `ledger-${index}`, group: `group-${index % 14}` },
    ...{ statementTimeoutMs: 1000 + (index % 7), targetLatencyMs: 200 },
  }));
  const source = JSON.stringify({ version: number, routes });
  const subject = { kind: SubjectKind.Configuration, routes, accounts: [], groups: [], source };
  return { number: toTicketNumber(number), subjects: [subject] } as unknown as Ticket;
}

/** A control state to which each proposal is committed once `commit` is called. */
class TestLog {
  readonly state = new ControlState();
  readonly proposed: Command[] = [];
  readonly submissions = new TicketSubmissions(this.state, (command) => this.propose(command));
  private readonly waiting: (() => void)[] = [];

  commit(): void {
    for (const resolve of this.waiting.splice(0)) {
      resolve();
    }
  }

  private propose(command: Command): Promise<Result<CommandAnswer, Fault>> {
    this.proposed.push(command);
    return new Promise((resolve) => {
      this.waiting.push(() => {
        const { hash, bytes } = command as Extract<Command, { bytes: Uint8Array }>;
        const ticket = tryUnpackTicket(bytes)._unsafeUnwrap() as Ticket;
        const kind = CommandKind.SubmitTicket;
        resolve(ok(this.state.apply({ kind, ticket, hash }, toRevision(this.proposed.length))));
      });
    });
  }
}

async function settle(): Promise<void> {
  for (let turn = 0; turn < 100; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

test('a configuration of 5,000 routes is written to the log in a tenth of its size', () => {
  const ticket = createTicket(7, 5000);
  const packed = runSteps(packTicketInSteps(ticket));
  expect(packed.bytes.byteLength * 10).toBeLessThan(JSON.stringify(ticket).length);
  expect(tryUnpackTicket(packed.bytes)._unsafeUnwrap()).toEqual(ticket);
  expect(packed.hash).toBe(getContentHash(ticket));
});

test('a ticket that arrives again and again is proposed once', async () => {
  const log = new TestLog();
  const packed = runSteps(packTicketInSteps(createTicket(7, 1000)));
  const first = log.submissions.submit(packed);
  await settle();
  const second = log.submissions.submit({ ...packed });
  await settle();
  expect(log.proposed).toHaveLength(1);
  log.commit();
  const accepted = { number: 7, outcome: TicketOutcome.Accepted };
  expect([(await first)._unsafeUnwrap(), (await second)._unsafeUnwrap()]).toEqual([
    accepted,
    accepted,
  ]);
  expect((await log.submissions.submit(packed))._unsafeUnwrap()).toEqual(accepted);
  expect(log.proposed).toHaveLength(1);
});

test('another ticket under a number in use is refused', async () => {
  const log = new TestLog();
  for (const routeCount of [3, 4]) {
    const submitted = log.submissions.submit(
      runSteps(packTicketInSteps(createTicket(7, routeCount))),
    );
    await settle();
    log.commit();
    expect((await submitted)._unsafeUnwrap()).toMatchObject({
      outcome: routeCount === 3 ? TicketOutcome.Accepted : TicketOutcome.Refused,
    });
  }
});

test.each([
  ['nothing', undefined],
  ['bytes that are not packed', { number: 7, hash: 'h', bytes: Buffer.from('text') }],
  [
    'an invalid ticket',
    runSteps(packTicketInSteps({ ...createTicket(7, 1), number: toTicketNumber(0) })),
  ],
  ['another number', { ...runSteps(packTicketInSteps(createTicket(7, 1))), number: 8 }],
])('%s is refused and proposes nothing', async (_name, content) => {
  const log = new TestLog();
  expect((await log.submissions.submit(content)).isErr()).toBe(true);
  expect(log.proposed).toEqual([]);
});
