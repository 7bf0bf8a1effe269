/** The set of instances that may serve a request. */
export enum LoadKind {
  /** The request needs the primary. */
  Primary = 'primary',
  /** The request is a read that replicas may run. */
  Reads = 'reads',
}
