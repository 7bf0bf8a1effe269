/** Reason why a reader does not run a read; the group's holder may run it. */
export enum ReaderRefusal {
  /** The daemon is not, or no longer, the reader of the instance. */
  Moved = 'moved',
  /** The instance is primary, or is about to become primary. */
  Primary = 'primary',
  /** The instance is leaving, or its failure domain is out of service. */
  OutOfService = 'out-of-service',
  /** No new connection to the instance succeeds. */
  Unreachable = 'unreachable',
  /** The session's position is not known from this host's records to be part of the history. */
  SessionUnknown = 'session-unknown',
  /** No position of the acknowledged writes that is recent enough is known. */
  NoFreshPosition = 'no-fresh-position',
  /** Only the holder knows the required position, or the instance cannot check its own position. */
  Unsupported = 'unsupported',
  /** The instance is cold and its pace leaves no start now. */
  Cold = 'cold',
  /** The instance had not reached the required position. */
  Behind = 'behind',
}
