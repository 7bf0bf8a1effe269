import { err, ok, type Result } from 'neverthrow';
import { createFault, Diagnostics, type Fault } from '../../common/diagnostics/index.js';
import type { AccountId, GroupId } from '../../common/ids/index.js';
import {
  createSessionToken,
  tryReadSessionToken,
  type SessionPosition,
  type TokenSigner,
} from '../../decisions/sessions/index.js';

/** Names of the session parameters that the proxy implements itself. */
export const SESSION_PARAMETER = 'filbertpoint.session';
const STALENESS_PARAMETER = 'filbertpoint.max_staleness';
const IDEMPOTENT_PARAMETER = 'filbertpoint.idempotent';
const TIMEOUT_PARAMETER = 'statement_timeout';

/** Parameters that callers may set only to the value that all backend connections have. */
const FIXED_PARAMETERS: ReadonlyMap<string, string> = new Map([
  ['client_encoding', 'UTF8'],
  ['datestyle', 'ISO, MDY'],
  ['standard_conforming_strings', 'on'],
  ['timezone', 'UTC'],
  ['integer_datetimes', 'on'],
]);

/** Parameters that are stored and shown, but have no effect. */
const STORED_PARAMETERS: ReadonlySet<string> = new Set([
  'application_name',
  'client_min_messages',
  'extra_float_digits',
]);

const DURATION_PATTERN = /^(\d+)\s*(ms|s|min)?$/;
const UNIT_MS: ReadonlyMap<string, number> = new Map([
  ['ms', 1],
  ['s', 1000],
  ['min', 60_000],
]);

/** Session parameters of one caller. */
export class SessionSettings {
  readonly positions = new Map<GroupId, SessionPosition>();
  maximumStalenessMs: number | undefined;
  idempotent = false;
  statementTimeoutMs: number;
  private readonly storedValues = new Map<string, string>();

  constructor(
    private readonly account: AccountId,
    private readonly signer: TokenSigner,
    private readonly defaultTimeoutMs: number,
  ) {
    this.statementTimeoutMs = defaultTimeoutMs;
  }

  /** Returns the session token for the caller, signed and with the positions of its groups. */
  getToken(): string {
    return createSessionToken(this.account, this.positions, this.signer);
  }

  /** Sets a parameter; `undefined` resets it. */
  trySet(name: string, value: string | undefined): Result<void, Fault> {
    switch (name) {
      case SESSION_PARAMETER:
        return this.trySetSession(value);
      case STALENESS_PARAMETER:
        return this.trySetDuration(name, value, (durationMs) => {
          this.maximumStalenessMs = durationMs;
        });
      case TIMEOUT_PARAMETER:
        return this.trySetDuration(name, value, (durationMs) => {
          const limitMs = durationMs === 0 ? this.defaultTimeoutMs : durationMs;
          this.statementTimeoutMs = limitMs ?? this.defaultTimeoutMs;
        });
      case IDEMPOTENT_PARAMETER:
        return this.trySetIdempotent(value);
      case 'all':
        return this.resetAll();
      default:
        return this.trySetOther(name, value);
    }
  }

  /** Returns the value of a parameter; undefined if the proxy does not support it. */
  show(name: string): string | undefined {
    switch (name) {
      case SESSION_PARAMETER:
        return this.getToken();
      case STALENESS_PARAMETER:
        return this.maximumStalenessMs === undefined ? '' : `${this.maximumStalenessMs}ms`;
      case IDEMPOTENT_PARAMETER:
        return this.idempotent ? 'on' : 'off';
      case TIMEOUT_PARAMETER:
        return `${this.statementTimeoutMs}ms`;
      case 'transaction_isolation':
        return 'read committed';
      default:
        return (
          this.storedValues.get(name) ??
          FIXED_PARAMETERS.get(name) ??
          (STORED_PARAMETERS.has(name) ? '' : undefined)
        );
    }
  }

  private trySetSession(value: string | undefined): Result<void, Fault> {
    if (value === undefined || value === '') {
      this.positions.clear();
      return ok();
    }
    return tryReadSessionToken(value, this.account, this.signer).map((positions) => {
      this.positions.clear();
      for (const [group, position] of positions) {
        this.positions.set(group, position);
      }
    });
  }

  private trySetDuration(
    name: string,
    value: string | undefined,
    apply: (durationMs: number | undefined) => void,
  ): Result<void, Fault> {
    if (value === undefined || value === '') {
      apply(undefined);
      return ok();
    }
    const match = DURATION_PATTERN.exec(value.trim());
    const unitMs = UNIT_MS.get(match?.[2] ?? 'ms');
    if (match === null || unitMs === undefined) {
      return err(createInvalidValueFault(name, 'a time such as 500ms or 2s'));
    }
    apply(Number(match[1]) * unitMs);
    return ok();
  }

  private trySetIdempotent(value: string | undefined): Result<void, Fault> {
    const text = (value ?? 'off').toLowerCase();
    if (!BOOLEANS.has(text)) {
      return err(createInvalidValueFault(IDEMPOTENT_PARAMETER, 'on or off'));
    }
    this.idempotent = BOOLEANS.get(text) === true;
    return ok();
  }

  private resetAll(): Result<void, Fault> {
    this.maximumStalenessMs = undefined;
    this.idempotent = false;
    this.statementTimeoutMs = this.defaultTimeoutMs;
    this.storedValues.clear();
    return ok();
  }

  private trySetOther(name: string, value: string | undefined): Result<void, Fault> {
    if (STORED_PARAMETERS.has(name)) {
      this.storedValues.set(name, value ?? '');
      return ok();
    }
    const fixed = FIXED_PARAMETERS.get(name);
    if (fixed !== undefined && (value === undefined || isSameValue(fixed, value))) {
      return ok();
    }
    const feature = `SET ${name} for the session`;
    return err(createFault(Diagnostics.FeatureNotSupported, { feature }, { step: 'caller.set' }));
  }
}

const BOOLEANS: ReadonlyMap<string, boolean> = new Map([
  ['on', true],
  ['true', true],
  ['yes', true],
  ['1', true],
  ['off', false],
  ['false', false],
  ['no', false],
  ['0', false],
]);

function isSameValue(fixed: string, value: string): boolean {
  const normalize = (text: string): string => text.toLowerCase().replace(/[^a-z0-9]/g, '');
  const normalized = normalize(value);
  return (
    normalize(fixed) === normalized ||
    (normalized !== '' && normalize(fixed).startsWith(normalized))
  );
}

function createInvalidValueFault(name: string, expected: string): Fault {
  const values = { parameter: name, expected };
  return createFault(Diagnostics.ParameterInvalid, values, { step: 'caller.set' });
}
