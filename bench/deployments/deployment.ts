import type { AccountPlan } from '../fleet/createAccountSubject.js';

/** The sizes of one users' site. */
export interface Deployment {
  readonly name: string;
  readonly groups: number;
  readonly entries: number;
  readonly slots: number;
  readonly connectionLimit: number;
  readonly openingMs: number;
  readonly statementMs: number;
  readonly lagMs: number;
  readonly accounts: readonly AccountPlan[];
}

function createAccounts(large: number, small: number): readonly AccountPlan[] {
  return Array.from({ length: 8 }, (_unused, index) => {
    const rate = index < 2 ? large : small;
    return { account: `account-${index + 1}`, rate, burst: rate };
  });
}

/** The two sites of today: three databases of three instances each, eight client accounts. */
export const DEPLOYMENTS: readonly Deployment[] = [
  {
    name: 'kilimajiwe',
    groups: 3,
    entries: 6,
    slots: 2,
    connectionLimit: 15,
    openingMs: 10,
    statementMs: 5,
    lagMs: 10,
    accounts: createAccounts(120, 30),
  },
  {
    name: 'cooperative',
    groups: 3,
    entries: 6,
    slots: 5,
    connectionLimit: 50,
    openingMs: 30,
    statementMs: 5,
    lagMs: 10,
    accounts: createAccounts(240, 60),
  },
];
