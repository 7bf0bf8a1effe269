/** Whether the statement behind a refusal was run on a backend server. */
export enum Execution {
  NotRun = 'not run',
  Unknown = 'unknown',
  Run = 'run',
}
