/** Kind of event that a diagnostic reports; determines the log level. */
export enum DiagnosticCategory {
  Message = 'message',
  Warning = 'warning',
  Refusal = 'refusal',
  Error = 'error',
}
