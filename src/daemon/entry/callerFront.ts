/** Serves callers in their protocol. */
export abstract class CallerFront {
  /** Connected callers. */
  abstract readonly count: number;
  /** The port that callers connect to, or connected to before the front was closed. */
  abstract readonly port: number;
  /** Starts to listen; fails when the address can't be had. */
  abstract listen(): Promise<void>;
  /** Takes on what control decided. */
  abstract recordsChanged(): void;
  /** Refuses new callers and ends each session once nothing runs in it. */
  abstract drain(): void;
  /** Starts no further statements: ends sessions, open transactions too, once their statement has ended. */
  abstract finish(): void;
  /** Gives up what still runs and ends every session; each request is answered with what is known of it. */
  abstract close(): void;
}
