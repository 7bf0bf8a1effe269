import { Disk, DiskFull } from '../../../src/daemon/storage/index.js';
import type { SeededRandom } from '../seededRandom.js';

interface Cut {
  readonly former: Buffer;
  readonly size: number;
}

interface FakeFile {
  content: Buffer;
  durable: Buffer;
  /** What was cut since the last sync. */
  cuts: Cut[];
}

/** What a full disk does with writes: all are refused, but not all without a trace. */
export interface Fullness {
  /** A refused write may leave a part of its bytes. */
  readonly keepsParts: boolean;
  /** Cutting a file is refused too. */
  readonly refusesCuts: boolean;
  /** New names, renaming and removing are refused too. */
  readonly refusesNames: boolean;
}

/** What a fake disk rejects with after its power was cut. */
export class PowerCut extends Error {}

/** A disk in memory that loses what was not synced, tears tails, flips bits and may be full. */
export class FakeDisk extends Disk {
  syncCount = 0;
  private names = new Map<string, FakeFile>();
  /** The names after each change since the folder was synced, oldest first. */
  private nameHistory = [new Map<string, FakeFile>()];
  private operationsLeft = Number.POSITIVE_INFINITY;
  private fullness: Fullness | undefined;
  private random: SeededRandom | undefined;

  /** Refuses writes until there is room. */
  fill(fullness: Fullness, random: SeededRandom): void {
    this.fullness = fullness;
    this.random = random;
  }

  /** Takes writes again. */
  makeRoom(): void {
    this.fullness = undefined;
  }

  /** Cuts the power after that many further operations. */
  cutPowerAfter(operations: number): void {
    this.operationsLeft = operations;
  }

  /** Loses a part of what was not synced, and gives power back; a full disk stays full. */
  crash(random: SeededRandom): void {
    this.names = new Map(random.pick(this.nameHistory));
    this.nameHistory = [new Map(this.names)];
    for (const file of this.names.values()) {
      file.content = getRemains(file, random);
      file.durable = file.content;
      file.cuts = [];
    }
    this.operationsLeft = Number.POSITIVE_INFINITY;
  }

  /** Flips one bit of a file. */
  flipBit(name: string, bit: number): void {
    const file = this.getFile(name);
    const content = Buffer.from(file.content);
    const offset = Math.floor(bit / 8);
    content[offset] = (content[offset] ?? 0) ^ (1 << (bit % 8));
    file.content = content;
  }

  /** Size of a file in bytes. */
  getSize(name: string): number {
    return this.getFile(name).content.byteLength;
  }

  /** The names that a listing gives, in order. */
  getNames(): readonly string[] {
    return [...this.names.keys()].sort();
  }

  override async list(): Promise<readonly string[]> {
    await this.operate();
    return [...this.names.keys()];
  }

  override async read(name: string): Promise<Uint8Array> {
    await this.operate();
    return Buffer.from(this.getFile(name).content);
  }

  override async append(name: string, bytes: Uint8Array): Promise<void> {
    let file = this.names.get(name);
    if (file === undefined) {
      this.refuseIf(this.fullness?.refusesNames);
      file = { content: Buffer.alloc(0), durable: Buffer.alloc(0), cuts: [] };
      this.names.set(name, file);
      this.noteNames();
    }
    file.content = Buffer.concat([file.content, this.getTakenPart(bytes)]);
    await this.operate();
    this.refuseIf(this.fullness !== undefined);
  }

  override async truncate(name: string, size: number): Promise<void> {
    await this.operate();
    this.refuseIf(this.fullness?.refusesCuts);
    const file = this.getFile(name);
    file.cuts.push({ former: file.content, size });
    file.content = file.content.subarray(0, size);
  }

  override async sync(name: string): Promise<void> {
    await this.operate();
    this.syncCount++;
    const file = this.getFile(name);
    file.durable = file.content;
    file.cuts = [];
  }

  override async syncFolder(): Promise<void> {
    await this.operate();
    this.nameHistory = [new Map(this.names)];
  }

  override async rename(from: string, to: string): Promise<void> {
    await this.operate();
    this.refuseIf(this.fullness?.refusesNames);
    const file = this.getFile(from);
    this.names.delete(from);
    this.names.set(to, file);
    this.noteNames();
  }

  override async remove(name: string): Promise<void> {
    await this.operate();
    this.refuseIf(this.fullness?.refusesNames);
    this.names.delete(name);
    this.noteNames();
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  private getTakenPart(bytes: Uint8Array): Uint8Array {
    const { fullness, random } = this;
    if (fullness === undefined || random === undefined) {
      return bytes;
    }
    return bytes.subarray(0, fullness.keepsParts ? random.nextBelow(bytes.byteLength) : 0);
  }

  private refuseIf(isRefused = false): void {
    if (isRefused) {
      throw new DiskFull('no room');
    }
  }

  private noteNames(): void {
    this.nameHistory.push(new Map(this.names));
  }

  private getFile(name: string): FakeFile {
    const file = this.names.get(name);
    if (file === undefined) {
      throw new Error(`no file ${name}`);
    }
    return file;
  }

  private async operate(): Promise<void> {
    await Promise.resolve();
    this.operationsLeft--;
    if (this.operationsLeft < 0) {
      throw new PowerCut('power cut');
    }
  }
}

/** The durable bytes and a part of those after them, sometimes followed by zeros or by what was cut off. */
function getRemains(file: FakeFile, random: SeededRandom): Buffer {
  const { content, durable, cuts } = file;
  const cut = random.chance(0.5) ? random.pick(cuts) : undefined;
  if (cut !== undefined) {
    const added = Math.max(0, content.byteLength - cut.size);
    const kept = content.subarray(0, cut.size + random.nextBelow(added + 1));
    return Buffer.concat([kept, cut.former.subarray(kept.byteLength)]);
  }
  if (content.byteLength <= durable.byteLength) {
    return random.chance(0.5) ? content : durable;
  }
  const unsyncedBytes = content.byteLength - durable.byteLength;
  const keptBytes = random.nextBelow(unsyncedBytes + 1);
  const kept = content.subarray(0, durable.byteLength + keptBytes);
  return random.chance(0.2) ? Buffer.concat([kept, Buffer.alloc(random.nextBelow(64))]) : kept;
}
