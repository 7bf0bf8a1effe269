import { ConsensusRules } from '../../src/decisions/consensus/index.js';
import {
  ControlState,
  TicketRegistry,
  type ControlSettings,
} from '../../src/decisions/control/index.js';
import { DaemonLeases, HeldLease } from '../../src/decisions/leases/index.js';
import { RateBucket, TokenPool, type AccountLimit } from '../../src/decisions/limits/index.js';
import { PromotionRules, type Fence, type GroupView } from '../../src/decisions/promotion/index.js';
import type { SoakVariant } from './soakRun.js';

class VoteWithoutSync extends ConsensusRules {
  override mustPersistVote(): boolean {
    return false;
  }
}

class CountedFromReceipt extends HeldLease {
  protected override getStartMs(_sentAtMs: number, receivedAtMs: number): number {
    return receivedAtMs;
  }
}

class NoWait extends DaemonLeases {
  protected override getWaitMs(): number {
    return 0;
  }
}

class Hasty extends PromotionRules {
  protected override findFence(view: GroupView): Fence {
    return { atMs: view.nowMs - 1000, isReported: true };
  }
}

class EqualAccepted extends TicketRegistry {
  protected override isSameContent(): boolean {
    return true;
  }
}

class RevertingRegister extends TicketRegistry {
  protected override mayReplace(): boolean {
    return true;
  }
}

class CarriedOver extends RateBucket {
  protected override createPool(limit: AccountLimit, startMs: number): TokenPool {
    return new FullPool(limit, startMs);
  }
}

class FullPool extends TokenPool {
  constructor(limit: AccountLimit, startMs: number) {
    super(limit, startMs);
    this.available = limit.burst;
  }
}

/** A rule that is broken on purpose, and the invariant by which the run finds it. */
export interface BrokenVariant {
  readonly name: string;
  readonly variant: SoakVariant;
  readonly finding: RegExp;
}

const HOLDERS = /one holder at a time|only the holder acknowledges|under an old term/;

/** The broken rules that the run must find. */
export const brokenVariants: readonly BrokenVariant[] = [
  {
    name: 'vote without fsync',
    variant: { rules: new VoteWithoutSync() },
    finding: /no vote before it is durable/,
  },
  {
    name: 'lease counted from receipt',
    variant: { createHeldLease: (id) => new CountedFromReceipt(id) },
    finding: HOLDERS,
  },
  {
    name: 'new leader that does not wait one lease',
    variant: {
      leaderParts: { createLeases: (settings: ControlSettings) => new NoWait(settings.lease) },
    },
    finding: HOLDERS,
  },
  {
    name: 'promotion before the lease ran out',
    variant: {
      leaderParts: { createRules: (settings: ControlSettings) => new Hasty(settings.promotion) },
    },
    finding: /under an old term|acknowledged write is lost|acknowledged to its session/,
  },
  {
    name: 'equal ticket number accepted twice',
    variant: {
      createState: () => new ControlState({ createTicketRegistry: () => new EqualAccepted() }),
    },
    finding: /an equal ticket number is accepted once/,
  },
  {
    name: 'grant carried over to a new holder',
    variant: { createBucket: (options) => new CarriedOver(options) },
    finding: /within rate and burst over every window/,
  },
  {
    name: 'older ticket replaces a newer one',
    variant: {
      createState: () => new ControlState({ createTicketRegistry: () => new RevertingRegister() }),
    },
    finding: /a later ticket is replaced by none before it/,
  },
];
