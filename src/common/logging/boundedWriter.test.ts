import { spawn } from 'node:child_process';
import { expect, test } from 'vitest';
import { BoundedWriter, MAXIMUM_QUEUED_CHARACTERS } from './boundedWriter.js';

const LINE = 'x'.repeat(100);
const formatDroppedLines = (count: number): string => `left out ${count}`;

test('lines are written in order, and lines that wait are written in one batch', () => {
  const written: string[] = [];
  const writeCallbacks: (() => void)[] = [];
  const writer = new BoundedWriter((text, onWritten) => {
    written.push(text);
    writeCallbacks.push(onWritten);
  }, formatDroppedLines);
  ['a', 'b', 'c'].forEach((line) => writer.write(line));
  writeCallbacks.shift()?.();
  writeCallbacks.shift()?.();
  writer.write('d');
  expect(written).toEqual(['a\n', 'b\nc\n', 'd\n']);
});

test('whenDrained calls back once the last line was written, or at once when no line waits', () => {
  const writeCallbacks: (() => void)[] = [];
  const writer = new BoundedWriter(
    (_, onWritten) => writeCallbacks.push(onWritten),
    formatDroppedLines,
  );
  const ended: string[] = [];
  writer.write('a');
  writer.write('b');
  writer.whenDrained(() => ended.push('drained'));
  writeCallbacks.shift()?.();
  expect(ended).toEqual([]);
  writeCallbacks.shift()?.();
  expect(ended).toEqual(['drained']);
  writer.whenDrained(() => ended.push('nothing waits'));
  expect(ended).toEqual(['drained', 'nothing waits']);
});

test('a stalled reader costs memory up to the bound and gets the count of dropped lines', () => {
  const written: string[] = [];
  let onWritten: (() => void) | undefined;
  const writer = new BoundedWriter((text, callback) => {
    written.push(text);
    onWritten = callback;
  }, formatDroppedLines);
  const count = 10_000;
  for (let index = 0; index < count; index += 1) {
    writer.write(LINE);
  }
  onWritten?.();
  const lines = written.join('').split('\n');
  const kept = lines.filter((line) => line === LINE).length;
  expect(kept * LINE.length).toBeLessThanOrEqual(MAXIMUM_QUEUED_CHARACTERS);
  expect(lines).toContain(`left out ${count - kept}`);
});

test('a pipe that nobody reads does not block the process', async () => {
  const program = `
    const { BoundedWriter, createDescriptorSink } = await import(process.argv[1]);
    const writer = new BoundedWriter(createDescriptorSink(1), (count) => 'left out ' + count);
    for (let index = 0; index < 100000; index += 1) writer.write('${LINE}');
    process.stderr.write('alive');
    setTimeout(() => process.kill(process.pid, 'SIGKILL'), 20);
  `;
  const file = new URL('../../../dist/src/common/logging/boundedWriter.js', import.meta.url).href;
  const child = spawn(process.execPath, ['--input-type=module', '-e', program, file]);
  let stderrText = '';
  child.stderr.on('data', (chunk: Buffer) => {
    stderrText += chunk.toString();
  });
  await new Promise((resolve) => child.once('close', resolve).stdout.pause());
  expect(stderrText).toBe('alive');
});
