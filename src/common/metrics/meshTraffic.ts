import { Counter, type Registry } from 'prom-client';

/** Direction of a mesh message, as seen from this daemon. */
export enum TrafficDirection {
  Sent = 'sent',
  Received = 'received',
}

type TrafficLabel = 'direction' | 'kind';

interface TrafficCounters {
  readonly messages: Counter.Internal;
  readonly bytes: Counter.Internal;
}

/** Messages and bytes between this daemon and the others, by direction and message kind. */
export class MeshTraffic {
  private readonly messages: Counter<TrafficLabel>;
  private readonly bytes: Counter<TrafficLabel>;
  private readonly counters: Readonly<Record<TrafficDirection, Map<string, TrafficCounters>>> = {
    [TrafficDirection.Sent]: new Map(),
    [TrafficDirection.Received]: new Map(),
  };

  constructor(registry: Registry) {
    const labelNames: TrafficLabel[] = ['direction', 'kind'];
    this.messages = new Counter({
      name: 'filbertpoint_mesh_messages_total',
      help: 'Messages between daemons, by direction and kind.',
      labelNames,
      registers: [registry],
    });
    this.bytes = new Counter({
      name: 'filbertpoint_mesh_bytes_total',
      help: 'Bytes of encoded messages between daemons, without frame and packet headers.',
      labelNames,
      registers: [registry],
    });
  }

  /** Counts one message of so many bytes. */
  record(direction: TrafficDirection, kind: string, byteLength: number): void {
    const counters = this.counters[direction].get(kind) ?? this.addKind(direction, kind);
    counters.messages.inc();
    counters.bytes.inc(byteLength);
  }

  private addKind(direction: TrafficDirection, kind: string): TrafficCounters {
    const labels = { direction, kind };
    const counters = {
      messages: this.messages.labels(labels),
      bytes: this.bytes.labels(labels),
    };
    this.counters[direction].set(kind, counters);
    return counters;
  }
}
