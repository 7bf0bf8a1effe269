import fc from 'fast-check';
import { expect, test } from 'vitest';
import { faultSchedule, runSchedule } from '../../../tests/support/consensus/faultAction.js';
import { Simulation, type SimulationOptions } from '../../../tests/support/consensus/simulation.js';
import { poorNetwork } from '../../../tests/support/consensus/simulatedNetwork.js';
import { ConsensusRules, type HeartbeatTimes } from './index.js';

const SEED = 20261204;
const MAXIMUM_RUNS = 300;

class VoteWithoutSync extends ConsensusRules {
  override mustPersistVote(): boolean {
    return false;
  }
}

class AcknowledgementWithoutSync extends ConsensusRules {
  override mustPersistEntries(): boolean {
    return false;
  }
}

class NoLoyalty extends ConsensusRules {
  override isLeaderRecent(): boolean {
    return false;
  }

  override usesPreVote(): boolean {
    return false;
  }
}

class CommitOfEarlierTerm extends ConsensusRules {
  override canCommitByCounting(): boolean {
    return true;
  }
}

class ReadWithoutBarrier extends ConsensusRules {
  override mustConfirmRead(): boolean {
    return false;
  }
}

class LeaseFromReceipt extends ConsensusRules {
  override getLeaseStart(heartbeat: HeartbeatTimes): number {
    return heartbeat.receivedMs;
  }
}

interface SeededFault {
  readonly name: string;
  readonly broken: Partial<SimulationOptions>;
  readonly finding: RegExp;
}

const seededFaults: readonly SeededFault[] = [
  {
    name: 'vote without fsync',
    broken: { rules: new VoteWithoutSync() },
    finding: /no vote before it is durable/,
  },
  {
    name: 'acknowledgement without fsync',
    broken: { rules: new AcknowledgementWithoutSync() },
    finding: /no acknowledgement before it is durable/,
  },
  {
    name: 'neither loyalty to the leader nor pre-vote',
    broken: { rules: new NoLoyalty() },
    finding: /leads while .* holds a lease/,
  },
  {
    name: 'commit of an earlier term by counting',
    broken: { rules: new CommitOfEarlierTerm() },
    finding: /only entries of the own term commit by counting/,
  },
  {
    name: 'read without barrier',
    broken: { rules: new ReadWithoutBarrier() },
    finding: /misses the completed commit/,
  },
  {
    name: 'lease counted from receipt',
    broken: { rules: new LeaseFromReceipt() },
    finding: /leads while .* holds a lease/,
  },
  {
    name: 'vote under the old identity after a lost disk',
    broken: { keepsIdentity: true },
    finding: /misses the completed commit|committed entry|has leaders|leads while/,
  },
];

test.each(seededFaults)('the checks find: $name', ({ broken, finding }) => {
  const property = fc.property(fc.integer(), faultSchedule, (seed, schedule) => {
    runSchedule(new Simulation({ seed, hostCount: 3, quality: poorNetwork, ...broken }), schedule);
  });
  const details = fc.check(property, {
    seed: SEED,
    numRuns: MAXIMUM_RUNS,
    endOnFailure: true,
  });
  expect(details.failed).toBe(true);
  expect(String(details.errorInstance)).toMatch(finding);
});
