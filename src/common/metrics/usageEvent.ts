/** What happened to a usage window or its report. */
export enum UsageEvent {
  /** The platform accepted the report. */
  Reported = 'reported',
  /** The platform accepted the report after it was due. */
  Late = 'late',
  /** The window was not reported: nothing is known of it, or it was given up. */
  Missed = 'missed',
  /** The platform refused the report because of a higher fence token. */
  Rejected = 'rejected',
  /** A call had no answer or was refused for another reason; it is repeated. */
  Repeated = 'repeated',
  /** The window was closed before every host had reported past its end. */
  Incomplete = 'incomplete',
}
