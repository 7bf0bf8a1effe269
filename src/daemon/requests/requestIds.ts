import { toRequestId, type Incarnation, type RequestId } from '../../common/ids/index.js';

/** Creates request ids that are unique over all daemons and lives of daemons. */
export class RequestIds {
  private count = 0;

  constructor(private readonly incarnation: Incarnation) {}

  /** The next id. */
  next(): RequestId {
    this.count += 1;
    return toRequestId(`${this.incarnation}-${this.count}`);
  }
}

/** Whether a request id was made by a life of a daemon. */
export function isRequestOf(id: string, incarnation: Incarnation): boolean {
  return id.startsWith(`${incarnation}-`);
}
