/** What kind of event a diagnostic reports. */
export enum DiagnosticCategory {
  Message = 'message',
  Warning = 'warning',
  Refusal = 'refusal',
  Error = 'error',
}
