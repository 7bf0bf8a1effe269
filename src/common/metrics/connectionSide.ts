/** Peers whose connections a gauge counts. */
export enum ConnectionSide {
  Callers = 'callers',
  Backend = 'backend',
  Mesh = 'mesh',
}
