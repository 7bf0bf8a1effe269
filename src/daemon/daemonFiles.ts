import { readFileSync } from 'node:fs';
import { err, ok, type Result } from 'neverthrow';
import { createFault, Diagnostics, Fault } from '../common/diagnostics/index.js';
import type { Settings } from '../common/settings/index.js';
import type { CallerTls } from './gateway/index.js';
import type { MeshTls } from './mesh/index.js';
import { tryReadBearerTokens, type BearerTokens } from './operators/index.js';

/** Contents of the files that are named in the settings. */
export interface DaemonFiles {
  readonly fleetKey: string;
  readonly meshTls: MeshTls | undefined;
  readonly callerTls: CallerTls | undefined;
  readonly backendPassword: string | undefined;
  readonly operatorTokens: BearerTokens | undefined;
  readonly announcerTokens: BearerTokens | undefined;
}

/** Reads the files that are named in the settings; a fault names the unreadable file. */
export function tryReadDaemonFiles(settings: Settings): Result<DaemonFiles, Fault> {
  try {
    return ok(readFiles(settings));
  } catch (cause) {
    if (cause instanceof Fault) {
      return err(cause);
    }
    throw cause;
  }
}

function readFiles({ mesh, callers, backend, operators, fleet }: Settings): DaemonFiles {
  const fleetKey =
    fleet.token_key_file === undefined ? fleet.token_key : readText(fleet.token_key_file);
  const backendPassword =
    backend.password_file === undefined ? undefined : readText(backend.password_file);
  return {
    fleetKey: fleetKey?.trim() ?? '',
    meshTls: mesh.tls === undefined ? undefined : readMeshTls(mesh.tls),
    callerTls: callers?.tls === undefined ? undefined : readTls(callers.tls),
    backendPassword: backendPassword?.trim(),
    operatorTokens: readTokens(operators.token_file),
    announcerTokens: readTokens(operators.announcer_token_file),
  };
}

type TlsSettings = NonNullable<Settings['mesh']['tls']>;

function readMeshTls(tls: TlsSettings): MeshTls {
  return { ...readTls(tls), authority: readText(tls.authority ?? tls.certificate) };
}

function readTls(tls: TlsSettings): CallerTls {
  return { certificate: readText(tls.certificate), key: readText(tls.key) };
}

function readTokens(file: string | undefined): BearerTokens | undefined {
  if (file === undefined) {
    return undefined;
  }
  const tokens = tryReadBearerTokens(file);
  if (tokens.isErr()) {
    throw tokens.error;
  }
  return tokens.value;
}

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (cause) {
    const problem = cause instanceof Error ? cause.message : String(cause);
    const context = { step: 'daemon.files', peer: file };
    throw createFault(Diagnostics.FileUnreadable, { file, problem }, context);
  }
}
