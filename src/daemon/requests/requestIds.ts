import {
  toIncarnation,
  toRequestId,
  type Incarnation,
  type RequestId,
} from '../../common/ids/index.js';

/** Creates request ids that are unique across all daemons and their incarnations. */
export class RequestIds {
  private count = 0;

  constructor(private readonly incarnation: Incarnation) {}

  /** Creates the next id. */
  next(): RequestId {
    this.count += 1;
    return toRequestId(`${this.incarnation}-${this.count}`);
  }
}

/** Returns the incarnation of the daemon that created a request id. */
export function getRequestSender(id: RequestId): Incarnation {
  return toIncarnation(id.slice(0, id.lastIndexOf('-')));
}

/** Whether a request id was created by an incarnation of a daemon. */
export function isRequestOf(id: string, incarnation: Incarnation): boolean {
  return id.startsWith(`${incarnation}-`);
}
