import { Counter, type Registry } from 'prom-client';

/** Direction of a mesh message, as seen from this daemon. */
export enum TrafficDirection {
  Sent = 'sent',
  Received = 'received',
}

type TrafficLabel = 'direction' | 'kind';

interface Traffic {
  messages: number;
  bytes: number;
}

/**
 * Counts messages and bytes between this daemon and others, by direction and message kind. Plain
 * numbers are counted and copied to the metrics when these are collected, because incrementing a
 * labelled counter costs as much as sending a message.
 */
export class MeshTraffic {
  private readonly traffic: Readonly<Record<TrafficDirection, Map<string, Traffic>>> = {
    [TrafficDirection.Sent]: new Map(),
    [TrafficDirection.Received]: new Map(),
  };

  constructor(registry: Registry) {
    this.addCounter(
      registry,
      'filbertpoint_mesh_messages_total',
      'Messages between daemons, by direction and kind.',
      ({ messages }) => messages,
    );
    this.addCounter(
      registry,
      'filbertpoint_mesh_bytes_total',
      'Bytes of encoded messages between daemons, without frame and packet headers.',
      ({ bytes }) => bytes,
    );
  }

  /** Counts one message of `byteLength` bytes. */
  record(direction: TrafficDirection, kind: string, byteLength: number): void {
    const kinds = this.traffic[direction];
    const traffic = kinds.get(kind);
    if (traffic === undefined) {
      kinds.set(kind, { messages: 1, bytes: byteLength });
      return;
    }
    traffic.messages += 1;
    traffic.bytes += byteLength;
  }

  private addCounter(
    registry: Registry,
    name: string,
    help: string,
    getValue: (traffic: Traffic) => number,
  ): void {
    const { traffic } = this;
    new Counter<TrafficLabel>({
      name,
      help,
      labelNames: ['direction', 'kind'],
      registers: [registry],
      collect() {
        this.reset();
        for (const direction of Object.values(TrafficDirection)) {
          for (const [kind, each] of traffic[direction]) {
            this.inc({ direction, kind }, getValue(each));
          }
        }
      },
    });
  }
}
