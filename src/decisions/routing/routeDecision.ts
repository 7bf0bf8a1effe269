import type { Fault } from '../../common/diagnostics/index.js';
import type { InstanceId } from '../../common/ids/index.js';

/** Kind of a routing decision. */
export enum RouteKind {
  Instance = 'instance',
  /** No instance can serve the request now; it may wait for a change until its deadline. */
  Wait = 'wait',
  Refuse = 'refuse',
}

/** The outcome of routing one request. */
export type RouteDecision =
  | {
      readonly kind: RouteKind.Instance;
      readonly instance: InstanceId;
      readonly isPrimary: boolean;
    }
  | { readonly kind: RouteKind.Wait }
  | { readonly kind: RouteKind.Refuse; readonly fault: Fault };
