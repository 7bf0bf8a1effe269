/** Why a reader does not run a read; the group's holder may. */
export enum ReaderRefusal {
  /** It does not read the instance, or no longer. */
  Moved = 'moved',
  /** The instance is primary, or is about to be. */
  Primary = 'primary',
  /** The instance leaves, or its failure domain is out of service. */
  OutOfService = 'out-of-service',
  /** No new connection to the instance succeeds. */
  Unreachable = 'unreachable',
  /** The session saw what this host's records do not know to be part of the history. */
  SessionUnknown = 'session-unknown',
  /** Nothing is known of the acknowledged writes that is young enough. */
  NoFreshPosition = 'no-fresh-position',
  /** The read wants what only the holder knows, or the instance can't check what it holds. */
  Unsupported = 'unsupported',
  /** The instance lacked what the read needs. */
  Behind = 'behind',
}
