import type { ClientRequest } from 'node:http';
import type { TimerService, Unsubscribe } from '../../src/common/timer/index.js';
import type { LogRecord } from '../log/index.js';
import { readRecordLine } from './recordLine.js';

const SILENCE_MS = 1000;
const HTTP_OK = 200;

/** Reads the records that a primary streams until the stream ends or goes silent. */
export class LogStream {
  private rest = '';
  private hasEnded = false;
  private heardMs: number;
  private readonly endWatch: Unsubscribe;

  constructor(
    private readonly request: ClientRequest,
    timer: TimerService,
    private readonly take: (record: LogRecord) => void,
    private readonly ended: () => void,
  ) {
    this.heardMs = timer.now();
    this.endWatch = timer.subscribe(SILENCE_MS, (nowMs) => {
      if (nowMs - this.heardMs > SILENCE_MS) {
        this.end(true);
      }
    });
    request.on('response', (answer) => {
      if (answer.statusCode !== HTTP_OK) {
        this.end(true);
        return;
      }
      answer.setEncoding('utf8');
      answer.on('data', (chunk: string) => {
        this.heardMs = timer.now();
        this.read(chunk);
      });
      answer.on('close', () => this.end(true));
      answer.on('error', () => this.end(true));
    });
    request.on('error', () => this.end(true));
    request.end();
  }

  /** Ends the stream without a call of `ended`. */
  close(): void {
    this.end(false);
  }

  private read(chunk: string): void {
    const lines = (this.rest + chunk).split('\n');
    this.rest = lines.pop() ?? '';
    for (const line of lines) {
      const record = this.hasEnded ? undefined : readRecordLine(line);
      if (record !== undefined) {
        this.take(record);
      }
    }
  }

  private end(isUnexpected: boolean): void {
    if (this.hasEnded) {
      return;
    }
    this.hasEnded = true;
    this.endWatch();
    this.request.destroy();
    if (isUnexpected) {
      this.ended();
    }
  }
}
