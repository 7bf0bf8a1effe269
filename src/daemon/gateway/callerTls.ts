/** Key material towards callers, as PEM text. */
export interface CallerTls {
  readonly certificate: string;
  readonly key: string;
}
