/** Whether the statement of a refused or failed request was run on a backend server. */
export enum Execution {
  NotRun = 'not run',
  Unknown = 'unknown',
  Run = 'run',
}
