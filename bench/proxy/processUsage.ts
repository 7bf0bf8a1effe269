import { readFileSync } from 'node:fs';

const TICKS_PER_SECOND = 100;
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

/** Processor time of a process since its start, in milliseconds. */
export function readProcessorMs(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD]);
  return (ticks * 1000) / TICKS_PER_SECOND;
}

/** Resident memory of a process, in bytes. */
export function readResidentBytes(pid: number): number {
  const text = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0) * 1024;
}
