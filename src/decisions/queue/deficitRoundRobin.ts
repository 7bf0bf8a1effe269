import type { AccountId } from '../../common/ids/index.js';
import { AccountBacklog } from './accountBacklog.js';
import { Fifo } from './fifo.js';
import { getFluidWaitMs } from './fluidWait.js';
import type { QueuedItem } from './queuedItem.js';
import { QueuePolicy } from './queuePolicy.js';

const QUANTUM_MS = 4;

class RoundRobinAccount extends AccountBacklog {
  deficitMs = 0;
  isActive = false;
}

/**
 * Deficit round robin over client accounts. An account with a positive deficit counter starts
 * requests and is charged their estimated cost immediately and the difference to the measured cost
 * later.
 */
export class DeficitRoundRobin extends QueuePolicy {
  private readonly accounts = new Map<AccountId, RoundRobinAccount>();
  private readonly round = new Fifo<RoundRobinAccount>();
  private readonly active = new Set<RoundRobinAccount>();
  private maximumWeight = 0;

  override add(item: QueuedItem): void {
    const account = this.getAccount(item);
    account.add(item);
    this.activate(account);
  }

  override addFirst(item: QueuedItem): void {
    const account = this.getAccount(item);
    account.addFirst(item);
    this.activate(account);
  }

  override next(): QueuedItem | undefined {
    let visited = 0;
    for (let account = this.round.peek(); account !== undefined; account = this.round.peek()) {
      if (account.peek() === undefined) {
        this.deactivate(account);
        continue;
      }
      if (account.deficitMs > 0) {
        return this.take(account);
      }
      this.round.shift();
      this.round.push(account);
      account.deficitMs += this.getQuantum(account);
      visited += 1;
      if (visited > this.round.size) {
        this.skipRounds();
        visited = 0;
      }
    }
    return undefined;
  }

  override charge(item: QueuedItem, measuredMs: number): void {
    const account = this.accounts.get(item.item.account);
    if (account !== undefined) {
      account.deficitMs -= measuredMs - item.estimateMs;
    }
  }

  override getWaitMs(accountId: AccountId, weight: number, slots: number): number {
    return getFluidWaitMs(this.active, this.accounts.get(accountId), weight, slots);
  }

  override getExpectedWaitMs(_rank: number, slots: number): number {
    return getFluidWaitMs(this.active, undefined, 1, slots);
  }

  override getDisplaced(): Iterable<QueuedItem> {
    return [];
  }

  override handleRemoval(item: QueuedItem): void {
    this.accounts.get(item.item.account)?.handleRemoval(item);
  }

  private take(account: RoundRobinAccount): QueuedItem | undefined {
    const item = account.shift();
    if (item !== undefined) {
      account.deficitMs -= item.estimateMs;
    }
    return item;
  }

  private getAccount(item: QueuedItem): RoundRobinAccount {
    const id = item.item.account;
    let account = this.accounts.get(id);
    if (account === undefined) {
      account = new RoundRobinAccount(id);
      this.accounts.set(id, account);
    }
    account.weight = item.item.weight;
    this.maximumWeight = Math.max(this.maximumWeight, account.weight);
    return account;
  }

  private activate(account: RoundRobinAccount): void {
    if (!account.isActive) {
      account.isActive = true;
      account.deficitMs = Math.min(0, account.deficitMs);
      this.active.add(account);
      this.round.push(account);
    }
  }

  private deactivate(account: RoundRobinAccount): void {
    this.round.shift();
    this.active.delete(account);
    account.isActive = false;
    account.backlogMs = 0;
  }

  /**
   * Returns the quantum of an account per round: `QUANTUM_MS` for the greatest weight, less for
   * others in proportion, so that no account starts requests for long while others wait.
   */
  private getQuantum(account: RoundRobinAccount): number {
    return (QUANTUM_MS * account.weight) / this.maximumWeight;
  }

  /** Adds the quanta of all rounds in which no active account could start a request. */
  private skipRounds(): void {
    let rounds = Number.POSITIVE_INFINITY;
    for (const account of this.active) {
      rounds = Math.min(rounds, Math.floor(-account.deficitMs / this.getQuantum(account)));
    }
    for (const account of this.active) {
      account.deficitMs += Math.max(0, rounds) * this.getQuantum(account);
    }
  }
}
