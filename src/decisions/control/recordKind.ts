/** Discriminator of replicated records. */
export enum RecordKind {
  Subject = 'subject',
  Instance = 'instance',
  GroupHolder = 'group-holder',
  AccountHolder = 'account-holder',
  Primary = 'primary',
  InstanceReader = 'instance-reader',
}
