/** Type bytes of the backend messages that the daemon distinguishes. */
export enum FrameType {
  ParseComplete = 0x31,
  Notification = 0x41,
  CommandComplete = 0x43,
  DataRow = 0x44,
  Error = 0x45,
  CopyIn = 0x47,
  CopyOut = 0x48,
  EmptyQuery = 0x49,
  ParameterStatus = 0x53,
  CopyBoth = 0x57,
  ReadyForQuery = 0x5a,
}
