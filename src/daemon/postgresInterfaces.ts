import { toFailureDomain } from '../common/ids/index.js';
import { splitAddress, type Settings } from '../common/settings/index.js';
import { defaultConsensusSettings } from '../decisions/consensus/index.js';
import { DEFAULT_CONTROL_SETTINGS } from '../decisions/control/index.js';
import { StatementClassifier } from '../decisions/routing/index.js';
import type { BackendProtocol } from './backend/index.js';
import { getMaximumConnections } from './clients/index.js';
import { HttpPlatform, type Platform } from './control/index.js';
import type { DaemonFiles } from './daemonFiles.js';
import { DaemonInterfaces, type DaemonParts } from './daemonInterfaces.js';
import type { CallerFrontend } from './entry/index.js';
import { CallerAccess, CallerServer } from './gateway/index.js';
import { HmacSigner } from './hmacSigner.js';
import { PostgresProtocol } from './postgres/index.js';

const MAXIMUM_CALLERS = 100_000;

/** The default interfaces: PostgreSQL to callers and backend servers, HTTP to the platform. */
export class PostgresInterfaces extends DaemonInterfaces {
  override readonly control = DEFAULT_CONTROL_SETTINGS;
  override readonly consensus = defaultConsensusSettings;
  override readonly isReadyOnlyInService = true;
  override readonly stopNoticeMs = 0;

  override createBackend(settings: Settings, files: DaemonFiles): BackendProtocol {
    return new PostgresProtocol({
      localIp: splitAddress(settings.mesh.listen).host,
      user: settings.backend.user,
      password: files.backendPassword,
    });
  }

  override createPlatform(settings: Settings): Platform {
    return new HttpPlatform(splitAddress(settings.mesh.listen).host);
  }

  override createCallers(parts: DaemonParts): CallerFrontend | undefined {
    const { settings, files, timer, logger, records, lease, requests, limits } = parts;
    const { callers } = settings;
    if (callers === undefined || !settings.roles.includes('entry')) {
      return undefined;
    }
    const context = {
      timer,
      access: new CallerAccess(records, lease, files.fleetKey, toFailureDomain(settings.domain)),
      classifier: new StatementClassifier(),
      signer: new HmacSigner(files.fleetKey),
      requests,
      limits,
      statementTimeoutMs: callers.statement_timeout_ms,
      maximumMessageBytes: callers.maximum_message_bytes,
    };
    const tls = files.callerTls;
    const maximumConnections = getMaximumConnections(MAXIMUM_CALLERS);
    const options = { listen: callers.listen, maximumConnections, tls };
    return new CallerServer(options, context, logger);
  }

  override createFrontends(): readonly [] {
    return [];
  }
}
