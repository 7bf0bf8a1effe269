import type { HostId, LeaseId } from '../../common/ids/index.js';

/** Daemon that holds a resource under its daemon lease. */
export interface Holder {
  readonly host: HostId;
  readonly lease: LeaseId;
  /** Mesh address `ip:port`. */
  readonly address: string;
}
