import * as fc from 'fast-check';
import { expect, test } from 'vitest';
import { runSteps } from '../../common/tasks/index.js';
import { parseTicketInSteps, SubjectKind, tryParseTicket } from './index.js';

const ROUTES = 2000;

function createRoute(index: number) {
  return {
    kind: SubjectKind.Route,
    route: `ledger-${index}`,
    group: 'group',
    targetLatencyMs: 200,
  };
}

function createTicket(routes: readonly unknown[]): unknown {
  const subject = { kind: SubjectKind.Configuration, routes, accounts: [], groups: [], source: '' };
  return { number: 7, subjects: [subject] };
}

test('a large configuration is validated in many steps', () => {
  const steps = parseTicketInSteps(
    createTicket(Array.from({ length: ROUTES }, (_, index) => createRoute(index))),
  );
  let count = 0;
  while (steps.next().done !== true) {
    count += 1;
  }
  expect(count).toBeGreaterThanOrEqual(10);
});

test('validation in steps finds what validation at once finds', () => {
  const route = fc.oneof(
    { weight: 20, arbitrary: fc.nat(1000).map(createRoute) },
    { weight: 1, arbitrary: fc.anything() },
    { weight: 1, arbitrary: fc.nat(1000).map((index) => ({ ...createRoute(index), extra: 1 })) },
  );
  const tickets = fc.oneof(
    fc.array(route, { maxLength: 300 }).map(createTicket),
    fc.array(fc.nat(1000).map(createRoute), { maxLength: 30 }).map(createTicket),
    fc.anything(),
  );
  fc.assert(
    fc.property(tickets, (ticket) => {
      const inSteps = runSteps(parseTicketInSteps(ticket));
      const atOnce = tryParseTicket(ticket);
      expect(inSteps.isOk()).toBe(atOnce.isOk());
      if (inSteps.isOk() && atOnce.isOk()) {
        expect(inSteps.value).toEqual(atOnce.value);
      } else if (inSteps.isErr() && atOnce.isErr()) {
        expect(inSteps.error.diagnostic).toBe(atOnce.error.diagnostic);
      }
    }),
    { seed: 20261205, numRuns: 300 },
  );
});

test('the fault names the route', () => {
  const routes = Array.from({ length: ROUTES }, (_, index) => createRoute(index));
  const ticket = createTicket([...routes, { ...createRoute(ROUTES), targetLatencyMs: -1 }]);
  expect(runSteps(parseTicketInSteps(ticket))._unsafeUnwrapErr().message).toContain(
    'subjects[0].routes[2000].targetLatencyMs',
  );
});
