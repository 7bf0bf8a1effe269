/** Condition under which a write is acknowledged to its caller. */
export enum Acknowledgement {
  /**
   * Once a replica has reached the write's position: the write survives the loss of the primary.
   */
  Replica = 'replica',
  /** Once the primary answers, which it does only when a replica has the write. */
  Synchronous = 'synchronous',
  /** Once the primary has the write: faster, but the write may be lost with the primary. */
  Primary = 'primary',
}
