/** Values for the `{name}` placeholders of a diagnostic's text. */
export type DiagnosticArguments = Readonly<Record<string, string | number | boolean>>;
