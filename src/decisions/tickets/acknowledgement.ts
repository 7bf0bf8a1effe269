/** When a write is acknowledged to its caller. */
export enum Acknowledgement {
  /** After at least one replica has the write's position: survives the loss of the primary. */
  Replica = 'replica',
  /** When the primary answers: it does so only once a replica has the write. */
  Synchronous = 'synchronous',
  /** After the primary alone has it: faster, may be lost with the primary. */
  Primary = 'primary',
}
