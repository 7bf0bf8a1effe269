import type { Diagnostic } from './diagnostic.js';
import { DiagnosticCategory } from './diagnosticCategory.js';

function refusal(code: number, text: string, sqlState?: string): Diagnostic {
  return create(code, DiagnosticCategory.Refusal, text, sqlState);
}

function error(code: number, text: string, sqlState?: string): Diagnostic {
  return create(code, DiagnosticCategory.Error, text, sqlState);
}

function warning(code: number, text: string): Diagnostic {
  return create(code, DiagnosticCategory.Warning, text);
}

function message(code: number, text: string): Diagnostic {
  return create(code, DiagnosticCategory.Message, text);
}

function create(
  code: number,
  category: DiagnosticCategory,
  text: string,
  sqlState?: string,
): Diagnostic {
  return sqlState === undefined ? { code, category, text } : { code, category, text, sqlState };
}

/** The one table of everything that the programs log, refuse or fail with. */
export const Diagnostics = {
  // 1000: common
  InvariantViolated: error(1000, 'Invariant violated: {invariant}.', 'XX000'),
  DaemonStarted: message(1001, 'Daemon started.'),
  DaemonStopping: message(1002, 'Graceful shutdown began.'),
  DaemonStopped: message(1003, 'Daemon stopped.'),
  EventLoopPaused: warning(1004, 'The process was paused for {pause} ms.'),

  // 2000: callers
  KeyRefused: refusal(2000, 'No valid key for client account "{account}".', '28P01'),
  RouteUnknown: refusal(2001, 'No route is in force for database "{database}".', '3D000'),
  KeyWithdrawn: refusal(2002, 'The key of client account "{account}" was withdrawn.', '28P01'),
  ShuttingDown: refusal(2003, 'This daemon is shutting down.', '57P01'),
  FeatureNotSupported: refusal(2004, '{feature} is not supported through the proxy.', '0A000'),
  MessageTooLarge: refusal(
    2005,
    'A message of {size} bytes exceeds the limit of {limit}.',
    '54000',
  ),
  StatementTimeout: error(2006, 'The statement exceeded its deadline of {deadline} ms.', '57014'),

  // 3000: sessions and routing
  TokenMalformed: refusal(3000, 'The session token is malformed or was not issued here.', '22023'),
  TokenForeign: refusal(3001, 'The session token belongs to another client account.', '42501'),
  PositionLost: error(
    3002,
    'Session position {position} of term {term} was lost by a promotion of group "{group}".',
    '40001',
  ),
  NoInstanceAvailable: refusal(3003, 'No instance of group "{group}" can serve this now.', '57P03'),
  NoHolder: refusal(3004, 'No daemon holds group "{group}" now.', '57P03'),
  LeaseExpired: refusal(3005, 'This daemon holds no lease.', '57P03'),
  OutcomeUnknown: error(3006, 'The outcome of the statement is unknown.', '08007'),
  BackendLost: error(3007, 'The connection to the backend server was lost.', '08006'),

  // 4000: limits and queue
  RateExceeded: refusal(
    4000,
    'Client account "{account}" is above its rate of {rate} requests a second.',
    '53400',
  ),
  CostAboveBurst: refusal(
    4001,
    'A request of cost {cost} can never fit the burst of {burst} of client account "{account}".',
    '54000',
  ),
  TokensUnavailable: refusal(
    4002,
    'No rate tokens of client account "{account}" arrived in time.',
    '57P03',
  ),
  TooManyWaiting: refusal(
    4003,
    'Client account "{account}" already has {limit} requests waiting for its rate.',
    '53400',
  ),
  AccountWithoutLimit: refusal(
    4004,
    'No rate is in force for client account "{account}".',
    '57P03',
  ),
  QueueFull: refusal(
    4010,
    'Client account "{account}" already has {limit} requests queued at this instance.',
    '53400',
  ),
  QueueDeadline: refusal(
    4011,
    'The request of client account "{account}" cannot start within its deadline.',
    '53000',
  ),
  QueueWaitExceeded: refusal(
    4012,
    'The request of client account "{account}" waited longer than {limit} ms for a slot.',
    '53000',
  ),
  TransactionTimeLimit: refusal(
    4013,
    'A transaction of client account "{account}" was open longer than {limit} ms.',
    '25P04',
  ),

  // 5000: consensus and storage

  // 6000: tickets, leases, promotion

  // 7000: settings and command line
  SettingsInvalid: error(7000, 'Settings file {file}: {key}: {expected}'),

  // 8000: mesh, announcements, operator API

  // 9000: stand-in, bench
} as const satisfies Record<string, Diagnostic>;
