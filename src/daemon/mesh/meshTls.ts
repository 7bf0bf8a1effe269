/** Key material for mutual TLS between daemons, as PEM text. */
export interface MeshTls {
  readonly certificate: string;
  readonly key: string;
  readonly authority: string;
}
