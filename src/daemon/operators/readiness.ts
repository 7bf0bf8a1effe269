/** The conditions under which the load balancer may send callers to a daemon. */
export interface ReadinessReport {
  /** Whether the daemon holds an unexpired lease. */
  readonly hasLease: boolean;
  /** Whether the daemon's failure domain is in service, so that it accepts new work. */
  readonly isInService: boolean;
  /** Whether the configuration is at least as new as the lease requires. */
  readonly hasCurrentConfiguration: boolean;
}

/** Reports whether the daemon is ready to serve callers. */
export abstract class Readiness {
  /** Reads the current state; cheap enough to be called for each health check. */
  abstract read(): ReadinessReport;
}
