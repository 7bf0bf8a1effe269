/** What a daemon needs before the balancer may send it callers. */
export interface ReadinessReport {
  /** The daemon holds a lease that has not run out. */
  readonly hasLease: boolean;
  /** The daemon's failure domain takes new work. */
  readonly isInService: boolean;
  /** The configuration is as new as the lease demands. */
  readonly hasCurrentConfiguration: boolean;
}

/** Tells whether the daemon is ready to serve. */
export abstract class Readiness {
  /** Reads the present state; cheap enough to be called for each health check. */
  abstract read(): ReadinessReport;
}
