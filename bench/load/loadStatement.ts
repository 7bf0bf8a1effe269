import type pg from 'pg';

/** What a statement is given for one request. */
export interface LoadRequest {
  readonly client: pg.Client;
  readonly account: string;
  /** The id of this request; unique in the load. */
  readonly id: string;
  readonly session: SessionMemory;
  /** Called when the first message that could have an effect is about to be sent. */
  readonly sending: () => void;
}

/** What a session remembers of its own writes, to check that it reads them. */
export interface SessionMemory {
  readonly id: string;
  /** The highest value that was acknowledged. */
  acknowledged: number;
  /** The last value that was tried. */
  tried: number;
}

/** A promise that an answer breaks. */
export class LoadViolation extends Error {
  constructor(readonly promise: string) {
    super(promise);
    this.name = 'LoadViolation';
  }
}

/** What the log shows of an acknowledged request. */
export enum LogTrace {
  None = 'none',
  /** One row with the request's id. */
  Entry = 'entry',
  /** That, and one added to the account's counter. */
  CountedEntry = 'counted entry',
}

/** One kind of request. */
export abstract class LoadStatement {
  abstract readonly name: string;
  abstract readonly isWrite: boolean;
  /** What the log must show of a request. */
  abstract readonly trace: LogTrace;

  /** Runs one request; rejects with the client's error, or a violation of a promise. */
  abstract run(request: LoadRequest): Promise<void>;
}
