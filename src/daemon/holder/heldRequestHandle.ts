import { RunningRequest } from '../requests/index.js';
import type { HeldRequest } from './heldRequest.js';

/** The receiver's handle on a request that this daemon runs. */
export class HeldRequestHandle extends RunningRequest {
  constructor(
    private readonly held: HeldRequest,
    private readonly cancelRequest: (held: HeldRequest) => void,
  ) {
    super();
  }

  override consume(consumed: number): void {
    this.held.consume(consumed);
  }

  override cancel(): void {
    this.cancelRequest(this.held);
  }

  override revoke(): void {
    if (this.held.startedMs === undefined) {
      this.cancelRequest(this.held);
    }
  }

  override abandon(): void {
    this.held.abandoned = true;
    this.cancelRequest(this.held);
  }
}
