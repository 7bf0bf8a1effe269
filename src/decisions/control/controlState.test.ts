import * as fc from 'fast-check';
import { pack, unpack } from 'msgpackr';
import { expect, test } from 'vitest';
import {
  toAccountId,
  toFailureDomain,
  toHostId,
  toGroupId,
  toLeaseId,
  toLogPosition,
  toInstanceId,
  toRevision,
  toTerm,
  toTicketNumber,
  type Revision,
} from '../../common/ids/index.js';
import { Diagnostics } from '../../common/diagnostics/index.js';
import { getCanonicalContent, SubjectKind, type Ticket } from '../tickets/index.js';
import type { Holder } from './holder.js';
import {
  CommandKind,
  ControlState,
  PrimaryPhase,
  TicketOutcome,
  TicketRegistry,
  type Command,
  type CommandAnswer,
  type ControlSnapshot,
  type TicketAnswer,
} from './index.js';
import { getAccountHolderRecordName } from './recordNames.js';

const SEED = 20261204;

/** Control state with the index of its last log entry. */
class ControlLog {
  state: ControlState;
  revision: Revision = toRevision(0);

  constructor(private readonly createState: () => ControlState = () => new ControlState()) {
    this.state = createState();
  }

  apply(command: Command): CommandAnswer {
    this.revision = toRevision(this.revision + 1);
    return this.state.apply(command, this.revision);
  }

  submit(ticket: Ticket): TicketAnswer {
    const { ticket: answer } = this.apply({ kind: CommandKind.SubmitTicket, ticket });
    if (answer === undefined) {
      throw new Error('submitted ticket got no answer');
    }
    return answer;
  }

  restart(): void {
    const snapshot = unpack(pack(this.state.createSnapshot())) as ControlSnapshot;
    this.state = this.createState();
    this.state.restore(snapshot);
  }
}

function createTicket(number: number, subjects: readonly (readonly [string, boolean])[]): Ticket {
  return {
    number: toTicketNumber(number),
    subjects: subjects.map(([domain, inService]) => {
      return { kind: SubjectKind.FailureDomain, domain: toFailureDomain(domain), inService };
    }),
  };
}

const ticketArbitrary = fc
  .tuple(
    fc.integer({ min: 1, max: 60 }),
    fc.uniqueArray(fc.tuple(fc.constantFrom('a', 'b', 'c', 'd', 'e'), fc.boolean()), {
      minLength: 1,
      maxLength: 3,
      selector: ([domain]) => domain,
    }),
  )
  .map(([number, subjects]) => createTicket(number, subjects));

const stepsArbitrary = fc.array(
  fc.oneof(
    { weight: 8, arbitrary: ticketArbitrary },
    { weight: 1, arbitrary: fc.constant('restart' as const) },
    { weight: 2, arbitrary: fc.constant('resend' as const) },
  ),
  { minLength: 50, maxLength: 400 },
);

/** Submits competing tickets and checks each answer against the tickets accepted before it. */
function checkTickets(log: ControlLog, sequence: readonly (Ticket | 'restart' | 'resend')[]): void {
  const accepted = new Map<number, string>();
  const inForce = new Map<string, { number: number; inService: boolean }>();
  const submissions: { ticket: Ticket; answer: TicketAnswer }[] = [];
  for (const step of sequence) {
    if (step === 'restart') {
      log.restart();
    } else if (step === 'resend') {
      const resent = submissions[submissions.length >> 1];
      const wasAccepted = resent?.answer.outcome === TicketOutcome.Accepted;
      expect(wasAccepted ? log.submit(resent.ticket) : undefined).toEqual(
        wasAccepted ? resent.answer : undefined,
      );
    } else {
      const answer = log.submit(step);
      submissions.push({ ticket: step, answer });
      checkAnswer(step, answer, accepted, inForce);
    }
    for (const [domain, expected] of inForce) {
      const found = log.state.getSubject(`failure-domain/${domain}`);
      expect(found?.ticket).toBe(expected.number);
      expect(found?.state).toMatchObject({ domain, inService: expected.inService });
      expect(log.state.getTicket(toTicketNumber(expected.number))).toBeDefined();
    }
  }
}

function checkAnswer(
  ticket: Ticket,
  answer: TicketAnswer,
  accepted: Map<number, string>,
  inForce: Map<string, { number: number; inService: boolean }>,
): void {
  const content = getCanonicalContent(ticket);
  const known = accepted.get(ticket.number);
  if (known !== undefined) {
    const outcome = known === content ? TicketOutcome.Accepted : TicketOutcome.Refused;
    expect(answer.outcome).toBe(outcome);
    return;
  }
  const states = ticket.subjects.filter((each) => each.kind === SubjectKind.FailureDomain);
  const isHigher = states.every((each) => ticket.number > (inForce.get(each.domain)?.number ?? 0));
  expect(answer.outcome).toBe(isHigher ? TicketOutcome.Accepted : TicketOutcome.Refused);
  if (isHigher) {
    accepted.set(ticket.number, content);
    for (const { domain, inService } of states) {
      inForce.set(domain, { number: ticket.number, inService });
    }
  }
}

test('competing and resent tickets keep their answers across restarts, and none reverts a newer ticket', () => {
  fc.assert(
    fc.property(stepsArbitrary, (sequence) => checkTickets(new ControlLog(), sequence)),
    { seed: SEED, numRuns: 100 },
  );
});

test('the ticket property fails when a number is accepted twice with different content', () => {
  class AcceptingAnyContent extends TicketRegistry {
    protected override isSameContent(): boolean {
      return true;
    }
  }
  const createState = () =>
    new ControlState({ createTicketRegistry: () => new AcceptingAnyContent() });
  const property = fc.property(stepsArbitrary, (sequence) =>
    checkTickets(new ControlLog(createState), sequence),
  );
  expect(fc.check(property, { seed: SEED, numRuns: 100 }).failed).toBe(true);
});

test('the ticket property fails when a ticket replaces one with a higher number', () => {
  class ReplacingAnyTicket extends TicketRegistry {
    protected override mayReplace(): boolean {
      return true;
    }
  }
  const createState = () =>
    new ControlState({ createTicketRegistry: () => new ReplacingAnyTicket() });
  const property = fc.property(stepsArbitrary, (sequence) =>
    checkTickets(new ControlLog(createState), sequence),
  );
  expect(fc.check(property, { seed: SEED, numRuns: 100 }).failed).toBe(true);
});

test('a refusal names the subject and the ticket in force on it', () => {
  const log = new ControlLog();
  log.submit(createTicket(5, [['a', false]]));
  expect(log.submit(createTicket(4, [['a', true]]))).toEqual({
    number: 4,
    outcome: TicketOutcome.Refused,
    code: Diagnostics.TicketOutdated.code,
    reason: 'Ticket 4 is not above ticket 5, which is in force on failure-domain/a.',
  });
  expect(log.submit(createTicket(5, [['b', true]]))).toMatchObject({
    code: Diagnostics.TicketNumberTaken.code,
    reason: 'Ticket number 5 belongs to an accepted ticket with other content on failure-domain/a.',
  });
});

test('a ticket resent with its subjects in another order counts as the same content', () => {
  const log = new ControlLog();
  const first = createTicket(1, [
    ['a', true],
    ['b', false],
  ]);
  const again = createTicket(1, [
    ['b', false],
    ['a', true],
  ]);
  expect(log.submit(first)).toEqual(log.submit(again));
});

test('an out-of-date command of a deposed leader is refused', () => {
  const log = new ControlLog();
  const group = toGroupId('g');
  const holder = { host: toHostId('h'), lease: toLeaseId('l1'), address: 'x' };
  const assign = { kind: CommandKind.AssignGroup, group, holder, expected: toRevision(0) } as const;
  expect(log.apply(assign).changed).toBe(true);
  expect(log.apply(assign)).toMatchObject({ refusal: Diagnostics.CommandOutdated.code });
  expect(log.apply({ kind: CommandKind.RetireLease, lease: holder.lease }).changed).toBe(true);
  expect(log.state.getGroupAssignment(group)?.holder).toBeUndefined();
  const outdated = { ...assign, expected: log.revision };
  expect(log.apply(outdated)).toMatchObject({ refusal: Diagnostics.CommandOutdated.code });
});

test('tokens of a released account pass to the next holder only', () => {
  const log = new ControlLog();
  const account = toAccountId('mill');
  const [first, second] = ['l1', 'l2'].map((lease) => ({
    ...{ host: toHostId('h'), lease: toLeaseId(lease), address: 'x' },
  })) as [Holder, Holder];
  const assign = (holder: Holder) => {
    const expected = log.state.getRecordRevision(getAccountHolderRecordName(account));
    return log.apply({ kind: CommandKind.AssignAccount, account, holder, expected });
  };
  assign(first);
  const release = {
    ...({ kind: CommandKind.ReleaseAccount, account, lease: first.lease, tokens: 7 } as const),
    expected: log.revision,
  };
  expect(log.apply(release).changed).toBe(true);
  expect(assign(second).changed).toBe(true);
  expect(log.state.getAccountAssignment(account)).toMatchObject({ holder: second, tokens: 7 });
  log.apply({ kind: CommandKind.RetireLease, lease: second.lease });
  assign({ ...first, lease: toLeaseId('l3') });
  expect(log.state.getAccountAssignment(account)?.tokens).toBeUndefined();
});

test('a promotion is refused when the holder or the term is not the expected one', () => {
  const log = new ControlLog();
  const group = toGroupId('g');
  const [first, second] = [toInstanceId('i1'), toInstanceId('i2')];
  const record = { kind: CommandKind.RecordPrimary, group, term: toTerm(3), instance: first };
  expect(log.apply(record as Command).changed).toBe(true);
  const begin = {
    kind: CommandKind.BeginPromotion,
    ...{ group, term: toTerm(4), instance: second, expectedTerm: toTerm(3) },
    required: toLogPosition(70),
  } as const;
  expect(log.apply({ ...begin, expectedLease: toLeaseId('l1') }).changed).toBe(false);
  expect(log.apply({ ...begin, expectedTerm: toTerm(2) }).changed).toBe(false);
  expect(log.apply(begin).changed).toBe(true);
  const complete = { kind: CommandKind.CompletePromotion, group, term: toTerm(4) } as const;
  expect(log.apply({ ...complete, position: toLogPosition(69) }).changed).toBe(false);
  expect(log.apply({ ...complete, position: toLogPosition(75) }).changed).toBe(true);
  expect(log.state.getPrimary(group)).toMatchObject({
    phase: PrimaryPhase.Serving,
    instance: second,
    history: [{ term: 3, position: 75 }],
  });
});

test('records since a revision are exactly those that changed after it', () => {
  const log = new ControlLog();
  for (let number = 1; number <= 3000; number++) {
    log.submit(createTicket(number, [[`d${number % 7}`, number % 2 === 0]]));
  }
  const records = log.state.getRecordsSince(toRevision(2996));
  expect(records.map((record) => record.revision)).toEqual([2997, 2998, 2999, 3000]);
  expect(log.state.getRecordsSince(toRevision(0))).toHaveLength(7);
});

test('an order about a failure domain has no effect once another order or ticket was accepted', () => {
  const log = new ControlLog();
  const domain = toFailureDomain('a');
  const subject = 'failure-domain/a';
  const order = (inService: boolean, expected: Revision) =>
    log.apply({ kind: CommandKind.SwitchDomain, domain, inService, expected });
  const first = log.state.getSubjectRevision(subject);
  expect(order(false, first)).toEqual({ changed: true, revision: 1 });
  expect(order(true, first)).toMatchObject({ refusal: Diagnostics.CommandOutdated.code });
  const second = log.state.getSubjectRevision(subject);
  log.restart();
  // An order that leaves the state as it is outdates the orders before it too.
  expect(order(false, second)).toEqual({ changed: true, revision: 3 });
  expect(order(true, second)).toMatchObject({ changed: false });
  const third = log.state.getSubjectRevision(subject);
  log.submit(createTicket(1, [['a', false]]));
  expect(order(true, third)).toMatchObject({ changed: false });
  expect(log.state.isInService(domain)).toBe(false);
});

test('an order that leaves a failure domain as a ticket set it keeps the ticket in force', () => {
  const log = new ControlLog();
  log.submit(createTicket(5, [['a', false]]));
  const [domain, expected] = [toFailureDomain('a'), log.revision];
  log.apply({ kind: CommandKind.SwitchDomain, domain, inService: false, expected });
  expect(log.state.getSubject('failure-domain/a')?.ticket).toBe(5);
});

test('orders of earlier versions in the log apply as they did', () => {
  const log = new ControlLog();
  const domain = toFailureDomain('a');
  const order = (inService: boolean) =>
    log.apply({ kind: CommandKind.SwitchDomain, domain, inService }).changed;
  expect([order(false), order(false), order(true)]).toEqual([true, false, true]);
  expect(log.state.isInService(domain)).toBe(true);
});
