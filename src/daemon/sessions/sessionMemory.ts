import { SessionState, type SessionStateBudget } from '../../decisions/sessions/index.js';
import type { SessionValue } from '../requests/index.js';
import type { SessionStatement } from './callerStatement.js';

/** Session values and prepared statements of one session, of bounded size. */
export class SessionMemory {
  private readonly state: SessionState;
  private readonly valuesByName = new Map<string, string>();
  private readonly prepared = new Map<string, SessionStatement>();

  constructor(budget: SessionStateBudget) {
    this.state = new SessionState(budget);
  }

  /** The session values, in the order in which their names were first set. */
  get values(): readonly SessionValue[] {
    return [...this.valuesByName].map(([name, value]) => ({ name, value }));
  }

  /** Sets a session value; returns false if the session would keep too much. */
  trySet(name: string, value: string): boolean {
    const isKept = this.state.trySet(`value ${name}`, name.length + value.length);
    if (isKept) {
      this.valuesByName.set(name, value);
    }
    return isKept;
  }

  /** Keeps a prepared statement; returns false if the session would keep too much. */
  tryPrepare(name: string, statement: SessionStatement): boolean {
    const { sharedName, message } = statement;
    const bytes = name.length + sharedName.length + message.length;
    const isKept = this.state.trySet(getEntry(name), bytes);
    if (isKept) {
      this.prepared.set(name, statement);
    }
    return isKept;
  }

  getPrepared(name: string): SessionStatement | undefined {
    return this.prepared.get(name);
  }

  /** Removes a prepared statement; returns false if there is none. */
  deallocate(name: string): boolean {
    this.state.remove(getEntry(name));
    return this.prepared.delete(name);
  }

  /** Removes everything when the session has ended. */
  clear(): void {
    this.state.clear();
    this.valuesByName.clear();
    this.prepared.clear();
  }
}

function getEntry(name: string): string {
  return `statement ${name}`;
}
