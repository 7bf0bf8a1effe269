/** Kinds of resources that are placed on hosts. */
export enum ResourceKind {
  /** Holder of a database group. */
  Group = 'group',
  /** Reader of a replica. */
  Reader = 'reader',
  /** Holder of a client account. */
  Account = 'account',
}
