import { LocalLineFleet } from './localLineFleet.js';
import { createLinePlan } from './linePlan.js';

/** Third number of the loopback addresses; other fleets of this repository use lower ones. */
const NETWORK = 119;
/** Rounds of statements: enough that every function of an ordinary request has run. */
const ROUNDS = 20;
const KEY = 'key-mill';

/** Runs a small fleet in this process and what callers ordinarily ask of it. */
export async function warmUp(): Promise<void> {
  const plan = await createLinePlan({ controls: 3, entries: 2, groups: 1, network: NETWORK });
  const fleet = new LocalLineFleet(plan);
  try {
    await fleet.start({ version: 1, accounts: { mill: [KEY] } });
    for (const [index, route] of ['latest', 'session', 'bounded'].entries()) {
      await runSession(fleet, `${route}-ledger1`, index % 2);
    }
  } finally {
    await fleet.stop();
  }
}

async function runSession(fleet: LocalLineFleet, database: string, entry: number): Promise<void> {
  const client = await fleet.connect(database, KEY, entry);
  const statements = ['SET a b', 'PREPARE p FETCH one', 'EXECUTE p one', 'DEALLOC p'];
  for (let round = 0; round < ROUNDS; round += 1) {
    statements.push(`PUT one ${round}`, 'FETCH one', 'BEGIN', 'FETCH one', `PUT two ${round}`);
    statements.push(
      'COMMIT',
      'BEGIN FETCH',
      'FETCH two',
      'COMMIT',
      'BEGIN',
      'PUT two x',
      'ROLLBACK',
    );
  }
  for (const statement of statements) {
    await client.query(statement);
  }
  client.close();
}
