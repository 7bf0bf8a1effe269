/** Certificate and private key for TLS with callers, as PEM text. */
export interface CallerTls {
  readonly certificate: string;
  readonly key: string;
}
