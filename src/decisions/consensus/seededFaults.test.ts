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

class NoLeaderStickiness extends ConsensusRules {
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
  readonly options: Partial<SimulationOptions>;
  readonly expectedError: RegExp;
}

const seededFaults: readonly SeededFault[] = [
  {
    name: 'vote without fsync',
    options: { rules: new VoteWithoutSync() },
    expectedError: /no vote before it is durable/,
  },
  {
    name: 'acknowledgement without fsync',
    options: { rules: new AcknowledgementWithoutSync() },
    expectedError: /no acknowledgement before it is durable/,
  },
  {
    name: 'neither leader stickiness nor pre-vote',
    options: { rules: new NoLeaderStickiness() },
    expectedError: /leads while .* holds a lease/,
  },
  {
    name: 'commit of an earlier term by counting',
    options: { rules: new CommitOfEarlierTerm() },
    expectedError: /only entries of the own term commit by counting/,
  },
  {
    name: 'read without barrier',
    options: { rules: new ReadWithoutBarrier() },
    expectedError: /misses the completed commit/,
  },
  {
    name: 'lease counted from receipt',
    options: { rules: new LeaseFromReceipt() },
    expectedError: /leads while .* holds a lease/,
  },
  {
    name: 'vote under the old identity after a lost disk',
    options: { keepsIdentity: true },
    expectedError: /misses the completed commit|committed entry|has leaders|leads while/,
  },
];

test.each(seededFaults)(
  'the simulation detects the seeded fault: $name',
  ({ options, expectedError }) => {
    const property = fc.property(fc.integer(), faultSchedule, (seed, schedule) => {
      runSchedule(
        new Simulation({ seed, hostCount: 3, quality: poorNetwork, ...options }),
        schedule,
      );
    });
    const details = fc.check(property, {
      seed: SEED,
      numRuns: MAXIMUM_RUNS,
      endOnFailure: true,
    });
    expect(details.failed).toBe(true);
    expect(String(details.errorInstance)).toMatch(expectedError);
  },
);
