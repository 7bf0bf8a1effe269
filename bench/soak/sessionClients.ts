import { assertInvariant } from '../../src/common/diagnostics/index.js';
import type { GroupId } from '../../src/common/ids/index.js';
import {
  GroupRouter,
  RandomReplica,
  RouteKind,
  type RouteDecision,
} from '../../src/decisions/routing/index.js';
import {
  comparePositions,
  getFurthest,
  type SessionPosition,
} from '../../src/decisions/sessions/index.js';
import { FleetObserver, type FakeDaemon, type FakeFleet } from '../../tests/support/fleet/index.js';

import type { AccountRates } from './accountRates.js';

const SESSIONS_PER_GROUP = 3;
const READ_INTERVAL_MS = 50;

interface Write {
  readonly entry: string;
  readonly position: SessionPosition;
}

/** One caller's session: what it holds as token and what it must see. */
class Session {
  token: SessionPosition | undefined;
  write: Write | undefined;
  /** The token is the position of an acknowledged write, which no promotion may lose. */
  isTokenWritten = false;
}

/** Sessions that write and read through whichever holder acts, and check what they see. */
export class SessionClients extends FleetObserver {
  readCount = 0;
  refusedCount = 0;
  private readonly sessions = new Map<GroupId, Session[]>();
  private readonly latest = new Map<GroupId, Write>();
  private writes = 0;
  private nextReadMs = 0;

  constructor(
    private readonly fleet: FakeFleet,
    private readonly rates: AccountRates,
  ) {
    super();
    for (const group of fleet.groups) {
      const sessions = Array.from({ length: SESSIONS_PER_GROUP }, () => new Session());
      this.sessions.set(group, sessions);
    }
  }

  override acknowledged(group: GroupId, entry: string, position: SessionPosition): void {
    this.writes++;
    const session = this.sessions.get(group)?.[this.writes % SESSIONS_PER_GROUP];
    this.latest.set(group, { entry, position });
    if (session !== undefined) {
      session.token = getFurthest(session.token, position);
      session.write = { entry, position };
      session.isTokenWritten = session.token === position;
    }
  }

  override stepped(): void {
    this.rates.step();
    if (this.fleet.nowMs < this.nextReadMs) {
      return;
    }
    this.nextReadMs = this.fleet.nowMs + READ_INTERVAL_MS;
    for (const [group, sessions] of this.sessions) {
      for (const daemon of this.fleet.daemons.filter((each) => each.isActing(group))) {
        if (daemon.isAlive && daemon.pausedUntilMs <= this.fleet.nowMs) {
          sessions.forEach((session) => this.read(group, session, daemon));
          this.read(group, new Session(), daemon);
        }
      }
    }
  }

  private read(group: GroupId, session: Session, daemon: FakeDaemon): void {
    const view = daemon.getRoutingView(group);
    if (view === undefined) {
      return;
    }
    const router = new GroupRouter(new RandomReplica(), daemon.domain, this.fleet.random);
    const requirement = { session: session.token, maximumStalenessMs: undefined };
    this.receive(group, session, router.routeRead(view, requirement));
  }

  private receive(group: GroupId, session: Session, decision: RouteDecision): void {
    if (decision.kind === RouteKind.Refuse) {
      this.refusedCount++;
      assertInvariant(!session.isTokenWritten, 'the position of an acknowledged write is not lost');
      session.token = undefined;
    } else if (decision.kind === RouteKind.Instance) {
      this.readCount++;
      const { term, position, entries } = this.fleet.getInstance(decision.instance);
      const wanted = session.token === undefined ? this.latest.get(group) : session.write;
      const isSeen = wanted === undefined || entries[wanted.position.position - 1] === wanted.entry;
      assertInvariant(isSeen, 'a read sees the writes acknowledged to its session');
      const seen = { term, position };
      const isForward = session.token === undefined || comparePositions(seen, session.token) >= 0;
      assertInvariant(isForward, 'session positions are monotone');
      session.isTokenWritten &&= comparePositions(seen, session.token ?? seen) === 0;
      session.token = seen;
    }
  }
}
