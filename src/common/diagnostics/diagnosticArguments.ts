/** Values for the `{name}` places of a diagnostic's text. */
export type DiagnosticArguments = Readonly<Record<string, string | number | boolean>>;
