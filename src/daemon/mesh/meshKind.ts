/** Tells the messages between daemons apart. */
export enum MeshKind {
  Hello = 1,
  Heartbeat,
  HeartbeatAnswer,
  Execute,
  ResponseBytes,
  ResponseEnd,
  ResponseCredit,
  Cancel,
  TokenMessage,
  LeaseRenewal,
  LeaseGrant,
  LeaseRedirect,
  RecordUpdate,
  Consensus,
  ControlCall,
  ControlAnswer,
}
