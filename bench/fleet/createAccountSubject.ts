import { createKeyVerifier } from '../../src/common/scram.js';

const ITERATIONS = 4096;

/** An account's rate, for tickets. */
export interface AccountPlan {
  readonly account: string;
  readonly rate: number;
  readonly burst: number;
}

/** An account's state with verifiers of its keys, as a ticket has it. */
export function createAccountSubject(
  { account, rate, burst }: AccountPlan,
  keys: readonly { readonly id: string; readonly key: string }[],
): object {
  const salt = Buffer.from(account.padEnd(16, '-')).toString('base64');
  return {
    kind: 'account',
    account,
    rate,
    burst,
    salt,
    iterations: ITERATIONS,
    keys: keys.map(({ id, key }) => ({ id, ...createKeyVerifier(key, salt, ITERATIONS) })),
    maximumOpenTransactions: 5,
  };
}
