import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { createFault, Diagnostics, Execution, type Fault } from '../../common/diagnostics/index.js';
import {
  toTicketNumber,
  type FailureDomain,
  type RequestId,
  type Revision,
  type TicketNumber,
} from '../../common/ids/index.js';
import type { Outcome } from '../../common/result.js';
import { runStepsInTurns } from '../../common/tasks/index.js';
import type { TimerService } from '../../common/timer/index.js';
import type {
  Announcement,
  CommandAnswer,
  Departure,
  FleetStatus,
  SubjectStatus,
  TicketAnswer,
} from '../../decisions/control/index.js';
import type { Ticket } from '../../decisions/tickets/index.js';
import type { ControlRoute } from '../lease/index.js';
import { MeshKind, type ControlAnswer, type Mesh } from '../mesh/index.js';
import { ControlClient } from '../operators/index.js';
import type { RequestIds } from '../requests/index.js';
import {
  ControlCallKind,
  type ConfigurationAnswer,
  type ControlCallContent,
} from './controlCalls.js';
import { PendingCalls } from './pendingCalls.js';
import { isPackedTicket, packTicketInSteps } from './ticketPacking.js';

const ATTEMPT_TIMEOUT_MS = 1000;
/**
 * Time for an answer to an order or to the read before it. Callers wait a second, in which the call
 * has to reach a second host; a repeated order has no effect.
 */
const ORDER_ATTEMPT_TIMEOUT_MS = 400;
const CALL_TIMEOUT_MS = 6000;
const RETRY_DELAY_MS = 50;

/** Codes of diagnostics after which a call is retried, possibly at another control host. */
const RETRIED_CODES: ReadonlySet<number> = new Set([
  Diagnostics.NotControlLeader.code,
  Diagnostics.LeadershipLost.code,
]);

/**
 * Receives announcements and departures of backend servers and forwards them to the control leader.
 */
export interface AnnouncementReceiver {
  announce(announcement: Announcement): void;
  announceDeparture(departure: Departure): void;
}

/** A configuration that a host has applied. */
export interface AppliedConfiguration {
  readonly number: TicketNumber;
  readonly source: string;
}

/**
 * Calls the control leader over the mesh; retries until the leader is found or the call times out.
 */
export class MeshControlClient extends ControlClient {
  private readonly pending = new PendingCalls<ControlAnswer | undefined>();

  constructor(
    private readonly mesh: Mesh,
    private readonly route: ControlRoute,
    private readonly ids: RequestIds,
    private readonly timer: TimerService,
    private readonly receiver: AnnouncementReceiver,
    /** Finds the configuration that this host has applied, if it keeps the control state. */
    private readonly findConfiguration: () => AppliedConfiguration | undefined = () => undefined,
  ) {
    super();
    mesh.receive(MeshKind.ControlAnswer, ({ message }) => {
      this.pending.answer(message.id, message);
    });
  }

  override submitTicket(ticket: Ticket): Outcome<TicketAnswer> {
    if (!isPackedTicket(ticket)) {
      return this.call({ kind: ControlCallKind.SubmitTicket, ticket });
    }
    const packed = runStepsInTurns(packTicketInSteps(ticket));
    return ResultAsync.fromSafePromise(packed).andThen(({ number, hash, bytes }) =>
      this.call<TicketAnswer>({
        kind: ControlCallKind.SubmitPackedTicket,
        ticket: { number, hash, bytes },
      }),
    );
  }

  override readConfigurationSource(): Outcome<string | undefined> {
    const own = this.findConfiguration();
    const known = own?.number ?? toTicketNumber(0);
    return this.call<ConfigurationAnswer>({ kind: ControlCallKind.ReadConfiguration, known }).map(
      ({ number, source }) => source ?? (number === own?.number ? own?.source : undefined),
    );
  }

  override readTicket(number: TicketNumber): Outcome<Ticket | undefined> {
    return this.call({ kind: ControlCallKind.ReadTicket, number });
  }

  override readInForce(subject: string | undefined): Outcome<readonly SubjectStatus[]> {
    const kind = ControlCallKind.ReadInForce;
    return this.call(subject === undefined ? { kind } : { kind, subject });
  }

  override readStatus(): Outcome<FleetStatus> {
    return this.call({ kind: ControlCallKind.ReadStatus });
  }

  override switchDomain(
    domain: FailureDomain,
    inService: boolean,
    expected: Revision,
  ): Outcome<CommandAnswer> {
    return this.call({ kind: ControlCallKind.SwitchDomain, domain, inService, expected });
  }

  override announce(announcement: Announcement): void {
    this.receiver.announce(announcement);
  }

  override announceDeparture(departure: Departure): void {
    this.receiver.announceDeparture(departure);
  }

  private call<Answer>(content: ControlCallContent): Outcome<Answer> {
    return new ResultAsync(this.callUntilAnswered(content)).map((answer) => answer as Answer);
  }

  private async callUntilAnswered(content: ControlCallContent): Promise<Result<unknown, Fault>> {
    const endMs = this.timer.now() + CALL_TIMEOUT_MS;
    while (this.timer.now() < endMs) {
      const address = this.route.choose(this.timer.now());
      const answer = await this.attempt(address, content);
      if (answer === undefined) {
        this.route.failed();
      } else if (answer.fault !== undefined && RETRIED_CODES.has(answer.fault.code)) {
        this.route.redirected(answer.leader);
      } else {
        this.route.answered(answer.leader ?? address);
        const { fault, content: result } = answer;
        return fault === undefined ? ok(result) : err(createRefusal(fault.message, address));
      }
      await this.pause();
    }
    // A submitted ticket may have been applied although its answer was lost.
    const isWrite =
      content.kind === ControlCallKind.SubmitTicket ||
      content.kind === ControlCallKind.SubmitPackedTicket ||
      content.kind === ControlCallKind.SwitchDomain;
    const execution = isWrite ? Execution.Unknown : Execution.NotRun;
    const context = { step: 'control.call', retryAfterMs: ATTEMPT_TIMEOUT_MS, execution };
    return err(createFault(Diagnostics.ControlUnreachable, {}, context));
  }

  private attempt(
    address: string,
    content: ControlCallContent,
  ): Promise<ControlAnswer | undefined> {
    const id: RequestId = this.ids.next();
    return new Promise((resolve) => {
      const timeoutMs = isOfOrder(content) ? ORDER_ATTEMPT_TIMEOUT_MS : ATTEMPT_TIMEOUT_MS;
      const cancel = this.timer.once(timeoutMs, () => {
        this.pending.answer(id, undefined);
      });
      this.pending.add(id, (answer) => {
        cancel();
        resolve(answer);
      });
      this.mesh.send(address, { kind: MeshKind.ControlCall, id, content });
    });
  }

  private pause(): Promise<void> {
    return new Promise((resolve) => {
      this.timer.once(RETRY_DELAY_MS, () => resolve());
    });
  }
}

/**
 * Whether a call belongs to an operator's order about a failure domain. A read of all subjects does
 * not: its answer is large, and the leader would create it again for each attempt.
 */
function isOfOrder(content: ControlCallContent): boolean {
  const { kind } = content;
  return (
    kind === ControlCallKind.SwitchDomain ||
    (kind === ControlCallKind.ReadInForce && content.subject !== undefined)
  );
}

function createRefusal(reason: string, peer: string): Fault {
  return createFault(Diagnostics.ControlRefused, { reason }, { step: 'control.call', peer });
}
