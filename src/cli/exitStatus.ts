/** How the program ends. */
export enum ExitStatus {
  Done = 0,
  Refused = 1,
  BadInput = 2,
  Unreachable = 3,
}
