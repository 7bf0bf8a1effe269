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

/** Table of all diagnostics: log messages, warnings, refusals and errors. */
export const Diagnostics = {
  // 1000: common
  InvariantViolated: error(1000, 'Invariant violated: {invariant}.', 'XX000'),
  DaemonStarted: message(1001, 'Daemon started.'),
  DaemonStopping: message(1002, 'Graceful shutdown began.'),
  SettingsReloaded: message(1005, 'The settings were read again.'),
  SettingsUnreadable: warning(
    1006,
    "The settings can't be read; the previous ones stay in force: {reason}",
  ),
  DaemonStopped: message(1003, 'Daemon stopped.'),
  EventLoopPaused: warning(1004, 'The process was paused for {pause} ms.'),

  // 2000: callers
  KeyRefused: refusal(2000, 'No valid key for client account "{account}".', '28P01'),
  RouteUnknown: refusal(2001, 'No route is in force for database "{database}".', '3D000'),
  KeyWithdrawn: refusal(2002, 'The key of client account "{account}" was withdrawn.', '28P01'),
  StatementUnknown: refusal(2016, 'Prepared statement "{name}" does not exist.', '26000'),
  ShuttingDown: refusal(2003, 'This daemon is shutting down.', '57P01'),
  FeatureNotSupported: refusal(2004, '{feature} is not supported through the proxy.', '0A000'),
  MessageTooLarge: refusal(
    2005,
    'A message of {size} bytes exceeds the limit of {limit}.',
    '54000',
  ),
  ParameterInvalid: refusal(2007, 'Parameter "{parameter}" needs {expected}.', '22023'),
  AuthenticationTimeout: refusal(2008, 'The caller did not authenticate in time.', '08006'),
  SessionStateTooLarge: refusal(
    2017,
    "The session's values and prepared statements would exceed their limit in bytes.",
    '54000',
  ),
  RouteForbidden: refusal(
    2010,
    'Client account "{account}" may not use database "{database}".',
    '42501',
  ),
  TransactionFailed: refusal(2013, 'The transaction was lost; end it with ROLLBACK.', '25P02'),
  MessageMalformed: refusal(2012, 'A message of the caller was malformed.', '08P01'),
  ProtocolUnsupported: refusal(2014, 'Protocol version {version} is not supported.', '08P01'),
  EncryptionFailed: refusal(2015, 'TLS towards a caller failed: {reason}.', '08P01'),
  DomainOutOfService: refusal(
    2030,
    'Failure domain "{domain}" is out of service; connect through another host.',
    '57P01',
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
  NoHolder: refusal(3004, 'No daemon holds group "{group}" now.', '57P03'),
  LeaseExpired: refusal(3005, 'This daemon holds no lease.', '57P03'),
  OutcomeUnknown: error(3006, 'The outcome of the statement is unknown.', '08007'),
  BackendLost: error(3007, 'The connection to the backend server was lost.', '08006'),

  BackendUnreachable: error(3008, 'No connection to the backend server: {reason}.', '08006'),
  BackendDeclined: refusal(
    3020,
    'The backend server did not run the statement: {refusal}.',
    '57P03',
  ),
  ReaderRefused: refusal(
    3021,
    'The reader of replica "{instance}" does not run the read: {reason}.',
    '57P03',
  ),
  ReaderStarted: message(3022, 'This daemon now reads replica "{instance}" of group "{group}".'),
  ReaderEnded: message(
    3023,
    'This daemon no longer reads replica "{instance}" of group "{group}".',
  ),
  InstanceCold: message(
    3024,
    'Instance "{instance}" of group "{group}" may be cold: it gets {rate} requests a second.',
  ),
  InstanceWarm: message(3025, 'Instance "{instance}" of group "{group}" is warm.'),
  ReaderExcluded: message(
    3026,
    'The reader of replica "{instance}" of group "{group}" is left out for {lengthMs} ms: its requests take {slowness} times as long as elsewhere.',
  ),
  RequestEnded: message(3030, 'A request ended: {outcome}.'),
  RequestHeld: message(3031, 'A request left its holder: {outcome}.'),
  RequestLinesLeftOut: message(
    3032,
    '{count} more requests that failed or were slow were not logged.',
  ),
  DeadlineExceeded: refusal(3010, 'The request could not start before its deadline.', '57014'),
  HolderMoved: refusal(3011, 'This daemon no longer holds group "{group}".', '57P03'),
  TransactionLost: error(3012, 'The transaction was lost and rolled back.', '40001'),
  RequestCancelled: refusal(3013, 'The request was cancelled by its caller.', '57014'),
  PrimaryFenced: message(3015, 'Primary "{instance}" of group "{group}" is fenced in term {term}.'),
  InstanceUnreachable: warning(3016, 'Instance "{instance}" of group "{group}" is unreachable.'),
  GroupTaken: message(3017, 'This daemon now holds group "{group}".'),
  GroupReleased: message(3018, 'This daemon released group "{group}".'),
  CallerRefused: message(3019, 'A caller was refused: {reason}'),
  ConnectionLimited: refusal(
    3090,
    'The connection was closed by a limit on clients: {reason}.',
    '53300',
  ),
  HolderFull: refusal(3092, 'Too much is held for requests of other hosts.', '53400'),
  ConnectionClosed: warning(3091, 'A connection was closed by a limit on clients: {reason}.'),

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
  Overloaded: refusal(
    4016,
    'Group "{group}" cannot run the request in time: the expected wait of {wait} ms, reported {age} ms ago, exceeds the {left} ms left.',
    '53000',
  ),
  TransactionTimeLimit: refusal(
    4013,
    'A transaction of client account "{account}" was open longer than {limit} ms.',
    '25P04',
  ),
  InstanceWithdrawn: message(
    4015,
    'Instance "{instance}" of group "{group}" is out of service and runs nothing more.',
  ),
  PrimaryWithdrawn: refusal(
    4014,
    'The primary "{instance}" of group "{group}" is out of service and no other one has taken over.',
    '57P03',
  ),

  // 5000: consensus and storage
  NotControlLeader: refusal(5000, 'This host does not lead control; the leader is "{leader}".'),
  MembershipChangePending: refusal(5001, 'An earlier membership change is not yet committed.'),
  LearnerBehind: refusal(5002, 'Learner "{member}" has not caught up yet.'),
  MemberKnown: refusal(5003, 'Member "{member}" is already there.'),
  MemberUnknown: refusal(5004, 'Member "{member}" is not known.'),
  LastVoter: refusal(5005, 'Member "{member}" is the last voter.'),
  CommandTooLarge: refusal(5006, 'A command of {size} bytes exceeds the limit of {limit}.'),
  LeadershipTransferring: refusal(5007, 'Leadership is being transferred.'),
  SnapshotTooLarge: error(5008, 'A snapshot of {size} bytes exceeds the limit of {limit}.'),
  RecordCorrupt: error(5100, 'Stored file {file} is corrupt at offset {offset}: {reason}.'),
  StorageFailed: error(5101, 'Storage failed on {file}: {reason}.'),
  LogTailRepaired: warning(5102, 'Dropped {size} bytes of an unfinished record from {file}.'),
  DiskRefusesWrites: warning(5103, 'The disk refuses writes; they wait for room: {reason}.'),
  DiskTakesWrites: message(5104, 'The disk takes writes again after {ms} ms.'),

  // 6000: tickets, leases, promotion
  TicketInvalid: refusal(6000, 'The ticket is not valid at {path}: {expected}'),
  TicketOutdated: refusal(
    6001,
    'Ticket {number} is not above ticket {winner}, which is in force on {subject}.',
  ),
  TicketNumberTaken: refusal(
    6002,
    'Ticket number {number} belongs to an accepted ticket with other content on {subject}.',
  ),
  CommandOutdated: refusal(6003, 'The command expected another state of {record}.'),
  LeaseRetired: message(6010, 'Lease {lease} of host "{host}" expired and is retired.'),
  GroupAssigned: message(6011, 'Group "{group}" is assigned to host "{host}".'),
  AccountAssigned: message(6012, 'Client account "{account}" is assigned to host "{host}".'),
  GroupDraining: message(6013, 'Host "{host}" is asked to release group "{group}".'),
  ReaderAssigned: message(
    6014,
    'Reads of instance "{instance}" of group "{group}" are assigned to host "{host}".',
  ),
  ReaderRemoved: message(
    6015,
    'The reader of instance "{instance}" of group "{group}" is removed.',
  ),
  PrimaryRecorded: message(6020, 'Group "{group}" has primary "{instance}" of term {term}.'),
  PrimaryLost: warning(6021, 'Primary "{instance}" of group "{group}" is lost: {reason}.'),
  PromotionBegan: message(6022, 'Promotion of "{instance}" in group "{group}" to term {term}.'),
  PromotionCompleted: message(
    6023,
    'Group "{group}" has primary "{instance}" of term {term} from position {position}.',
  ),
  PromotionAbandoned: warning(
    6024,
    'Promotion of "{instance}" in group "{group}" to term {term} is abandoned: {reason}.',
  ),
  PromotionWaits: warning(
    6025,
    'Group "{group}" has no candidate for promotion: {reason} ({positions}).',
  ),
  PromotionsPaused: warning(
    6029,
    'Group "{group}" was promoted {count} times in {seconds} s; the next promotion waits.',
  ),
  PromotionDecided: message(
    6028,
    'Group "{group}" needs position {required} and "{instance}" has it: {reason} ({positions}).',
  ),
  UsageReported: message(
    6030,
    'Usage of window {window} was accepted {ageMs} ms after its end: {requests} requests of {accounts} accounts, token {token}, attempt {attempt}.',
  ),
  UsageNotReported: warning(
    6031,
    'Usage of window {window} was not accepted ({outcome}) {ageMs} ms after its end: {requests} requests of {accounts} accounts, token {token}, attempt {attempt}.',
  ),
  UsageIncomplete: warning(
    6032,
    'Usage of window {window} was closed {ageMs} ms after its end without the last counts of some of {hosts} hosts.',
  ),
  UsageMissed: warning(6033, 'Usage of {count} windows before window {window} is not reported.'),
  GroupMovedForLoad: message(
    6034,
    'Group "{group}" of {work} ms/s moves from host "{from}" ({fromWork} ms/s) to "{to}" ({toWork} ms/s).',
  ),
  AccountMovedForLoad: message(
    6035,
    'Client account "{account}" of {work} ms/s moves from host "{from}" ({fromWork} ms/s) to "{to}" ({toWork} ms/s).',
  ),
  MoveBegan: message(6026, 'The primary of group "{group}" is moved from "{instance}".'),
  ForeignPrimary: warning(
    6027,
    'Instance "{instance}" of group "{group}" announces itself primary of term {term}.',
  ),

  // 7000: settings and command line
  SettingsInvalid: error(7000, 'Settings file {file} is not valid: {problems}'),
  UsageInvalid: refusal(7001, '{problem}'),
  OperatorsUnreachable: error(7002, "No operators' HTTP address answered: {problem}"),
  AnswerMalformed: error(7003, 'The response was not in the expected format: {problem}'),
  SubjectNotInForce: refusal(7004, 'No ticket is in force on {subject}.'),
  FileUnreadable: refusal(7005, "File {file} can't be read: {problem}"),
  RaceLost: refusal(
    7006,
    'Ticket {number} lost the race to another operator {attempts} times: {problem}',
  ),

  LinesSuppressed: message(7100, '{count} more lines of {code} were left out.'),

  // 7200: configuration check
  ConfigurationRefused: refusal(7200, 'Configuration {file} has {problems}.'),
  RouteGroupUnknown: error(
    7201,
    'The configuration has no group "{group}": add the group or change the route.',
  ),
  RouteGroupUnset: warning(
    7202,
    'No ticket sets group "{group}", so its defaults apply: submit a ticket for the group.',
  ),
  RouteAccountUnknown: error(
    7203,
    'Client account "{account}" does not exist: add the account or change the route.',
  ),
  RouteAccountsEmpty: warning(
    7204,
    'The list of accounts is empty, so nobody can use the route: add accounts or remove the list.',
  ),
  RouteAccountsWithoutKeys: warning(
    7205,
    'No account of the route has a key ({count} listed): issue a key or add other accounts.',
  ),
  AccountUnused: warning(
    7206,
    'No route admits the account: add it to a route, or remove the account.',
  ),
  GroupUnused: warning(7207, 'No route uses the group: add a route, or remove the group.'),
  KeysOpenNothing: warning(
    7208,
    'No route admits callers with the keys {keys}: add the account to a route, or remove the keys.',
  ),
  TimeoutAboveTransaction: warning(
    7209,
    'statementTimeoutMs {timeout} is above transactionLimitMs {limit} of group "{group}": lower it or raise the limit.',
  ),
  TargetAboveTimeout: warning(
    7210,
    'targetLatencyMs {target} is above statementTimeoutMs {timeout}: lower it or raise the timeout.',
  ),
  IdleAboveTransaction: warning(
    7211,
    'transactionIdleMs {idle} is above transactionLimitMs {limit} of group "{group}": lower it or raise the limit.',
  ),
  TransactionsAboveConnections: warning(
    7212,
    'maximumOpenTransactions {transactions} is above connectionLimit {limit} of group "{group}": lower it or raise the limit.',
  ),
  BurstBelowGrants: warning(
    7213,
    'An even stream at rate {rate} may wait for burst {burst}: raise the burst to {minimum} or more.',
  ),
  StalenessBelowMinimum: warning(
    7214,
    'maximumStalenessMs {staleness} is below {minimum}, so no replica serves the reads: raise it.',
  ),
  WarmupRateWithoutTime: warning(
    7215,
    'warmupPerSecond {rate} has no warmupMs: set warmupMs or remove warmupPerSecond.',
  ),
  WarmupTimeWithoutRate: warning(
    7216,
    'warmupMs {time} has no warmupPerSecond: set warmupPerSecond or remove warmupMs.',
  ),
  AccountRemoved: warning(
    7217,
    'The account is removed and its callers are cut off: keep it until they have moved.',
  ),
  KeysRemoved: warning(
    7218,
    'The keys {keys} are removed and their callers are cut off: keep them until they have moved.',
  ),
  SubjectShadowed: warning(
    7219,
    'The configuration names the subject too and takes precedence: change it in the configuration.',
  ),

  // 8000: operators' HTTP and announcements
  OperatorsListening: message(8000, "Operators' HTTP interface listens on {address}."),
  RequestInvalid: refusal(8001, 'The request is invalid: {problem}'),
  TokenNeeded: refusal(8002, 'A valid bearer token is needed.'),
  TicketNotInForce: refusal(8009, 'Ticket {number} is in force on no subject.'),
  NotFound: refusal(8003, '{subject} was not found.'),
  BodyTooLarge: refusal(8004, 'The body exceeds the limit of {limit} bytes.'),
  TicketRefused: refusal(8005, 'The ticket was refused: {reason}'),
  RequestFailed: error(8006, 'The request failed: {problem}'),
  OrderAbandoned: refusal(
    8010,
    'The caller closed its connection before the order was carried out.',
  ),
  OrderLate: refusal(8012, 'The order may have arrived longer ago than its caller waits.'),
  OrderSuperseded: refusal(
    8011,
    'Other orders for failure domain "{domain}" were carried out meanwhile.',
  ),
  TicketAnswered: message(8007, 'Ticket {number} was {outcome}.'),
  AccessUnprotected: warning(
    8008,
    'No token file is set for {access}; any local process has access.',
  ),

  // 8500: mesh, control shell
  LeadershipLost: refusal(
    8510,
    'The control leader changed; the outcome of the command is unknown.',
  ),
  ControlRoleChanged: message(8511, 'This control host is now {role}.'),
  ControlMembersPlanned: message(8518, 'Planned members of the control quorum: {members}.'),
  ControlQuorumSmall: warning(
    8519,
    'The control quorum has {count} members; {needed} are needed to tolerate the loss of {losses} disks.',
  ),
  PlatformFailed: error(8512, 'The platform did not promote: {reason}.'),
  ControlUnreachable: refusal(8513, 'The control quorum could not be reached in time.'),
  ControlRefused: refusal(8514, '{reason}'),
  LeaseTaken: message(8515, 'This daemon acquired its lease.'),
  LeaseLost: warning(8516, 'This daemon lost its lease.'),
  DataFolderNew: message(8517, 'A new control log was created under identity {identity}.'),
  MeshFrameInvalid: warning(8500, 'A frame from another daemon was invalid: {reason}.'),
  MeshLinkLost: message(8502, 'A link was lost: {reason}.'),
  MeshLinkOpened: message(8503, 'A link was opened.'),
  MeshUnreachable: error(8504, 'No link could be opened: {reason}.', '08006'),
  EventLoopHeld: message(8520, 'The event loop was blocked for {heldMs} ms.'),
  TaskFailed: error(8505, 'A task failed: {reason}.', 'XX000'),

  // 9000: stand-in, bench
  LogPositionMalformed: refusal(9000, 'invalid input syntax for type pg_lsn: "{text}"', '22P02'),
  SqlSyntax: refusal(9001, 'syntax error: {reason}', '42601'),
  SqlUnsupported: refusal(9002, '{feature} is not supported by the stand-in', '0A000'),
  SqlTableUnknown: refusal(9003, 'relation "{table}" does not exist', '42P01'),
  SqlColumnUnknown: refusal(9004, 'column "{column}" does not exist', '42703'),
  SqlFunctionUnknown: refusal(9005, 'function {name} does not exist', '42883'),
  SqlTableExists: refusal(9006, 'relation "{table}" already exists', '42P07'),
  SqlUniqueViolation: refusal(
    9007,
    'duplicate key value violates unique constraint "{constraint}"',
    '23505',
  ),
  SqlNotNullViolation: refusal(
    9008,
    'null value in column "{column}" violates not-null constraint',
    '23502',
  ),
  SqlReadOnly: refusal(9009, 'cannot execute {command} in a read-only transaction', '25006'),
  SqlTransactionFailed: refusal(
    9010,
    'current transaction is aborted, commands ignored until end of transaction block',
    '25P02',
  ),
  SqlValueInvalid: refusal(9011, 'invalid input syntax for type {type}: "{text}"', '22P02'),
  SqlValueOutOfRange: refusal(9012, '{type} out of range', '22003'),
  SqlDivisionByZero: refusal(9013, 'division by zero', '22012'),
  SqlDeadlock: refusal(9014, 'deadlock detected', '40P01'),
  SqlCancelled: refusal(9015, 'canceling statement due to user request', '57014'),
  SqlStatementTimeout: refusal(9016, 'canceling statement due to statement timeout', '57014'),
  SqlSettingUnknown: refusal(9017, 'unrecognized configuration parameter "{name}"', '42704'),
  SqlStatementUnknown: refusal(9018, 'prepared statement "{name}" does not exist', '26000'),
  SqlPortalUnknown: refusal(9019, 'portal "{name}" does not exist', '34000'),
  SqlStatementExists: refusal(9020, 'prepared statement "{name}" already exists', '42P05'),
  SqlSeveralStatements: refusal(
    9021,
    'cannot insert multiple commands into a prepared statement',
    '42601',
  ),
  SqlParameterCount: refusal(
    9022,
    'bind message supplies {given} parameters, but prepared statement requires {needed}',
    '08P01',
  ),
  SqlParameterUnknown: refusal(9023, 'there is no parameter ${number}', '42P02'),
  SqlGrouping: refusal(9024, 'column "{column}" must be used in an aggregate function', '42803'),
  ProtocolViolation: refusal(9026, 'invalid frontend message: {reason}', '08P01'),
  TooManyConnections: refusal(9027, 'sorry, too many clients already', '53300'),
  InstanceDemoted: refusal(9028, 'terminating connection due to administrator command', '57P01'),
  InstanceStarting: refusal(9029, 'the database system is starting up', '57P03'),
  PromotionRefused: refusal(9030, 'Promotion to term {term} refused: {reason}.'),
  PlatformFault: error(9031, 'The platform failed half-way through promotion to term {term}.'),
  StandinSettingsInvalid: error(9032, 'Settings file {file}: {key}: {expected}'),
  InstanceStarted: message(9033, 'Instance started.'),
  InstanceStopped: message(9034, 'Instance stopped.'),
  InstancePromoted: message(9035, 'Instance is primary of term {term} from {position}.'),
  InstanceFollows: message(9036, 'Instance follows {primary} of term {term}.'),
  LogTruncated: warning(9037, 'Log truncated from {from} to {to}: term {term} began there.'),
  SqlRecoveryInProgress: refusal(9039, 'recovery is in progress', '55000'),
  SqlActiveTransaction: refusal(9040, '{command} cannot run inside a transaction block', '25001'),
  SqlSettingInvalid: refusal(9041, 'invalid value for parameter "{name}": "{value}"', '22023'),
  UserRefused: refusal(9042, 'password authentication failed for user "{user}"', '28P01'),
  IdleInTransaction: refusal(
    9044,
    'terminating connection due to idle-in-transaction timeout',
    '25P03',
  ),
  PeerRequestFailed: error(9043, 'Request {path} failed: {reason}.'),
} as const satisfies Record<string, Diagnostic>;
