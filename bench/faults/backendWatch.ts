import { LineWord, NOTHING, StatementWord } from '../../platform/lines/lineWord.js';
import type { TimerService } from '../../src/common/timer/index.js';
import { StatementWatch, type SeenStatement } from '../../standin/lines/index.js';
import type { CallerLedger } from './callerLedger.js';

/** The session value under which each caller keeps its item. */
export const OWNER = 'owner';
/** What every key begins with. */
export const KEY_PREFIX = 'key-';

const WINDOW_MS = 2000;
const MANAGING = new Set<string>([StatementWord.Set, StatementWord.Reset, StatementWord.Status]);

/** When an instance got a request of a caller. */
export interface SeenRequest {
  readonly id: string;
  readonly domain: string;
  readonly atMs: number;
}

/** What backend servers got, judged from their side. */
export class BackendWatch extends StatementWatch {
  /** Requests by the account that they came for, each id once. */
  readonly requests = new Map<string, SeenRequest[]>();
  readonly seen = new Map<string, SeenRequest>();

  constructor(
    private readonly ledger: CallerLedger,
    private readonly timer: TimerService,
  ) {
    super();
  }

  override see(statement: SeenStatement): void {
    const { id, text, account, domain } = statement;
    if (text.includes(KEY_PREFIX) || account.includes(KEY_PREFIX)) {
      this.ledger.fail(`a key reached ${statement.instance}: ${id} ${text}`);
    }
    if (id === NOTHING || this.isManaging(text)) {
      return;
    }
    this.compare(statement);
    if (!this.seen.has(id)) {
      const request = { id, domain, atMs: this.timer.now() };
      this.seen.set(id, request);
      const others = this.requests.get(account) ?? [];
      others.push(request);
      this.requests.set(account, others);
    }
  }

  /** Windows in which an account had more requests run than its rate and burst allow. */
  judgeRate(account: string, rate: number, burst: number, slack: number): readonly string[] {
    const times = this.requests.get(account) ?? [];
    const limit = (rate * WINDOW_MS) / 1000 + burst + slack;
    const first = times.find(({ atMs }, index) => {
      const last = times[index + limit];
      return last !== undefined && last.atMs - atMs <= WINDOW_MS;
    });
    return first === undefined
      ? []
      : [`${account}: over ${limit} requests in ${WINDOW_MS} ms from ${first.id} on`];
  }

  private isManaging(text: string): boolean {
    return MANAGING.has(text.split(' ')[0] ?? '');
  }

  /** Compares a statement with what its caller sent, and its connection with the caller's session. */
  private compare({ instance, id, text, account, values, transaction }: SeenStatement): void {
    const request = this.ledger.requests.get(id);
    const bare = text.startsWith(`${StatementWord.After} `)
      ? text.split(' ').slice(2).join(' ')
      : text;
    const what = `${instance} got ${LineWord.Query} ${id} "${text}"`;
    if (request === undefined) {
      this.ledger.fail(`${what}, which no caller sent`);
      return;
    }
    if (request.text !== bare) {
      this.ledger.fail(`${what}, sent as "${request.text}"`);
    }
    if (request.account !== account) {
      this.ledger.fail(`${what} for account ${account}, not ${request.account}`);
    }
    if (values.get(OWNER) !== request.item) {
      this.ledger.fail(`${what} with the session values of ${values.get(OWNER) ?? 'nobody'}`);
    }
    const stranger = transaction?.find(
      (other) => this.ledger.requests.get(other)?.item !== request.item,
    );
    if (stranger !== undefined) {
      this.ledger.fail(`${what} inside the transaction of ${stranger}`);
    }
  }
}
