import {
  LeastDelayReplica,
  NearReplica,
  RandomReplica,
  TwoChoicesReplica,
  type ReplicaPolicy,
} from '../../src/decisions/routing/index.js';
import { runReplicas } from './replicaRun.js';
import { SCENARIOS, type Scenario } from './scenario.js';

const SEEDS = [1, 2, 3, 4, 5];
const REMOTE_PENALTY_MS = 2;

/** The policies that are compared. */
const POLICIES: readonly (readonly [name: string, policy: ReplicaPolicy])[] = [
  ['random', new RandomReplica()],
  ['two choices', new TwoChoicesReplica()],
  ['least delay', new LeastDelayReplica()],
  ['near, 2 ms', new NearReplica(REMOTE_PENALTY_MS)],
];

function getMedian(values: number[]): number {
  values.sort((left, right) => left - right);
  return values[Math.floor(values.length / 2)] ?? 0;
}

function formatCell(policy: ReplicaPolicy, scenario: Scenario): string {
  const runs = SEEDS.map((seed) => runReplicas(policy, scenario, seed));
  const mean = getMedian(runs.map(({ meanMs }) => meanMs));
  const tail = getMedian(runs.map(({ tailMs }) => tailMs));
  return `${mean.toFixed(1)} / ${tail.toFixed(0)}`;
}

function printTable(): void {
  const titles = SCENARIOS.map(({ name }) => name);
  process.stdout.write(
    `Mean / p99 delay of a read in ms, medians of seeds 1 to ${SEEDS.length}\n\n`,
  );
  process.stdout.write(`| policy | ${titles.join(' | ')} |\n`);
  process.stdout.write(`| --- |${titles.map(() => ' --- |').join('')}\n`);
  for (const [name, policy] of POLICIES) {
    const cells = SCENARIOS.map((scenario) => formatCell(policy, scenario));
    process.stdout.write(`| ${name} | ${cells.join(' | ')} |\n`);
  }
}

printTable();
