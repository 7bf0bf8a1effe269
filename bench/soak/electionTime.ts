import {
  electionCases,
  getQuantile,
  measureElection,
} from '../../tests/support/consensus/electionTime.js';

const DEFAULT_SEEDS = 10_000;

/** Prints how long the loss of the leader leaves the group without one, in simulated time. */
function main(): void {
  const seedCount = Number(process.argv[2] ?? DEFAULT_SEEDS);
  console.log(`simulated ms without a leader, ${seedCount} seeds: median, p99, p99.9, worst`);
  for (const electionCase of electionCases) {
    const times = Array.from({ length: seedCount }, (_, seed) =>
      measureElection(electionCase, seed),
    );
    const figures = [0.5, 0.99, 0.999, 1].map((share) => getQuantile(times, share).toFixed(0));
    console.log(`${electionCase.name}: ${figures.join(', ')}`);
  }
}

main();
