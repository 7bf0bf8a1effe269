import fc from 'fast-check';
import { expect, test } from 'vitest';
import { FakeDisk } from '../../../tests/support/storage/fakeDisk.js';
import { createStorage } from '../../../tests/support/storage/openState.js';
import { SeededRandom } from '../../../tests/support/seededRandom.js';
import { toRequestId } from '../../common/ids/index.js';
import {
  ConsensusMember,
  ConsensusRules,
  createFoundingState,
  defaultConsensusSettings,
  EntryKind,
  InputKind,
  OutputKind,
  Role,
  toMemberId,
  type ConsensusInput,
} from '../../decisions/consensus/index.js';
import type { FileLogStorage } from './index.js';

const SEED = 20261204;
const INCARNATIONS = 4;
const COMMANDS_PER_INCARNATION = 60;
const identity = toMemberId('alone');
const settings = { ...defaultConsensusSettings, snapshotEntries: 25, trailingEntries: 5 };

/** A single consensus member with file storage, which runs until a simulated power cut. */
class StoredMember {
  commands: string[] = [];
  hasLostPower = false;
  private nowMs = 0;
  private appliedIndex = 0;
  private constructor(
    private readonly storage: FileLogStorage<string>,
    readonly member: ConsensusMember<string>,
  ) {}

  static async open(disk: FakeDisk, random: SeededRandom): Promise<StoredMember> {
    const storage = createStorage(disk);
    const founding = { identity, state: createFoundingState<string>([identity]) };
    const opened = (await storage.open(() => founding))._unsafeUnwrap();
    const member = new ConsensusMember<string>({
      identity: opened.identity,
      settings,
      random,
      stored: opened.state,
      measureCommand: (command) => command.length,
      rules: new ConsensusRules(),
    });
    const stored = new StoredMember(storage, member);
    await stored.applyOutputs(member.start(0));
    return stored;
  }

  async handleInput(input: ConsensusInput<string>): Promise<void> {
    this.nowMs += 10;
    await this.applyOutputs(this.member.handle(input, this.nowMs));
  }

  private async applyOutputs(outputs: ReturnType<typeof this.member.handle>): Promise<void> {
    for (const output of outputs) {
      if (output.kind === OutputKind.Persist) {
        const result = await this.storage.persist(output);
        this.hasLostPower ||= result.isErr();
        if (result.isOk()) {
          await this.handleInput({ kind: InputKind.Persisted, sequence: result.value });
        }
      } else if (output.kind === OutputKind.Commit) {
        for (const entry of output.entries) {
          this.appliedIndex = entry.index;
          this.commands.push(...(entry.kind === EntryKind.Command ? [entry.command] : []));
        }
      } else if (output.kind === OutputKind.RestoreSnapshot) {
        this.appliedIndex = output.snapshot.index;
        this.commands = JSON.parse(new TextDecoder().decode(output.snapshot.state)) as string[];
      } else if (output.kind === OutputKind.SnapshotDue) {
        const state = new TextEncoder().encode(JSON.stringify(this.commands));
        await this.handleInput({ kind: InputKind.Compact, index: this.appliedIndex, state });
      }
    }
  }
}

async function waitUntilLeader(stored: StoredMember): Promise<void> {
  for (let tick = 0; tick < 100 && stored.member.role !== Role.Leader; tick++) {
    await stored.handleInput({ kind: InputKind.Tick });
  }
}

test('committed commands are present in order after every power cut', async () => {
  const property = fc.asyncProperty(fc.integer(), async (seed) => {
    const random = new SeededRandom(seed);
    const disk = new FakeDisk();
    let committed: string[] = [];
    for (let incarnation = 0; incarnation < INCARNATIONS; incarnation++) {
      const stored = await StoredMember.open(disk, random);
      await waitUntilLeader(stored);
      expect(stored.commands.slice(0, committed.length)).toEqual(committed);
      disk.cutPowerAfter(random.nextBelow(150));
      for (let count = 0; count < COMMANDS_PER_INCARNATION && !stored.hasLostPower; count++) {
        const request = toRequestId(`${incarnation}.${count}`);
        await stored.handleInput({ kind: InputKind.Propose, request, command: request });
      }
      committed = stored.commands;
      disk.crash(random);
    }
    expect(committed.length).toBeGreaterThan(0);
  });
  await fc.assert(property, { seed: SEED, numRuns: 60 });
});
