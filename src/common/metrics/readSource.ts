/** Where a read was served. */
export enum ReadSource {
  Replica = 'replica',
  Primary = 'primary',
}
