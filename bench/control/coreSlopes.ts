import { performance } from 'node:perf_hooks';
import { toLeaseId, toRevision } from '../../src/common/ids/index.js';
import { ControlState, DaemonRecords } from '../../src/decisions/control/index.js';
import {
  FrameCodec,
  MeshKind,
  RecordPacker,
  tryUnpackRecords,
} from '../../src/daemon/mesh/index.js';
import { LeaderRun } from '../placement/leaderRun.js';
import { createFleetRecords } from './fleetRecords.js';
import { printTable, type Row } from './table.js';
import { getMedian } from './usage.js';

const DAEMON_COUNTS = [250, 500, 1000, 2200];
const GROUPS = 13_000;
const ACCOUNTS = 3000;
const DOMAINS = 12;
const REPEATS = 5;
const CHANGED_RECORDS = 500;

/** Measures the decisions of control in this process, without sockets. */
export function measureCore(): void {
  printTable('Leader decisions', DAEMON_COUNTS.flatMap(measureLeader));
  const sizes = [
    [1300, 300],
    [GROUPS / 2, ACCOUNTS / 2],
    [GROUPS, ACCOUNTS],
  ] as const;
  printTable(
    'Records',
    sizes.map(([groups, accounts]) => measureRecordSize(groups, accounts)),
  );
}

function measureLeader(daemons: number): Row[] {
  return [1, GROUPS].map((groups) => {
    const size = { name: String(daemons), daemons, domains: DOMAINS, groups, hostsLost: 1 };
    const result = new LeaderRun(size).run();
    return {
      daemons,
      groups,
      renewal_us: result.renewalMicroseconds,
      announcements_a_renewal: (groups * 3) / daemons,
      tick_us: result.tickMicroseconds,
      slowest_tick_ms: result.slowestTickMs,
      commits_a_lost_host: result.commitsPerHostLost,
      heap_MB: result.heapMegabytes,
    };
  });
}

function measureRecordSize(groups: number, accounts: number): Row {
  const records = createFleetRecords(groups, accounts);
  const revision = toRevision(records.length);
  const grant = {
    ...{ lease: toLeaseId('l'), sequence: 1, lengthMs: 1500, retired: false },
    ...{ revision, records: new RecordPacker().pack(records, revision) },
  };
  const message = { kind: MeshKind.LeaseGrant as const, grant };
  const frame = new FrameCodec().encode(message);
  const heapBefore = readHeap();
  const copy = new DaemonRecords();
  const decoded = new FrameCodec().tryDecode(frame, 'bench')._unsafeUnwrap();
  if (decoded.kind === MeshKind.LeaseGrant) {
    const unpacked = tryUnpackRecords(decoded.grant.records, 'bench')._unsafeUnwrap();
    copy.applyRecords(unpacked, revision);
  }
  const daemonMegabytes = readHeap() - heapBefore;
  const tickets = { inForce: [], replaced: [] };
  const state = new ControlState();
  const restoreMs = time(() => state.restore({ revision, records, tickets, retiredLeases: [] }));
  return {
    groups,
    accounts,
    records: records.length,
    bytes_a_record: frame.length / records.length,
    daemon_heap_MB: daemonMegabytes,
    update_us: measureUpdate(copy, records),
    groups_walk_us: 1000 * time(() => copy.getGroups()),
    encode_all_ms: time(() => new FrameCodec().encode(message)),
    decode_all_ms: time(() => new FrameCodec().tryDecode(frame, 'bench')),
    apply_all_ms: time(() => new DaemonRecords().applyRecords(records, revision)),
    snapshot_ms: time(() => state.createSnapshot()),
    restore_ms: restoreMs,
  };
}

/** Cost of taking in one pushed record, in microseconds. */
function measureUpdate(
  copy: DaemonRecords,
  records: ReturnType<typeof createFleetRecords>,
): number {
  let revision = copy.revision;
  const ms = time(() => {
    for (const record of records.slice(0, CHANGED_RECORDS)) {
      const since = revision;
      revision = toRevision(revision + 1);
      copy.applyUpdate({ since, revision, records: [{ ...record, revision }] });
    }
  });
  return (1000 * ms) / CHANGED_RECORDS;
}

function time(run: () => unknown): number {
  const times = Array.from({ length: REPEATS }, () => {
    const startMs = performance.now();
    run();
    return performance.now() - startMs;
  });
  return getMedian(times);
}

function readHeap(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed / 2 ** 20;
}
