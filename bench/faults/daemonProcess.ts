import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, fstatSync, openSync, readFileSync } from 'node:fs';

/** What a daemon logs once it is up. */
const STARTED = 'code=FP1001 ';

/** How a process is started. */
export interface ProcessStart {
  readonly program: string;
  /** Module that is loaded before the program and makes the host misbehave. */
  readonly harm: string;
  readonly settingsFile: string;
  readonly faultsFile: string;
  readonly logFile: string;
}

/** One life of a daemon's process. */
export class DaemonProcess {
  /** It was told to end, or may. */
  isExpected = false;
  /** Settles when the process has ended; says how. */
  readonly ended: Promise<string>;
  isRunning = true;
  isPaused = false;
  private readonly child: ChildProcess;
  private readonly logFile: string;
  /** Bytes that earlier lives wrote. */
  private readonly logFrom: number;

  constructor({ program, harm, settingsFile, faultsFile, logFile }: ProcessStart) {
    const log = openSync(logFile, 'a');
    this.logFile = logFile;
    this.logFrom = fstatSync(log).size;
    const maps = program.endsWith('.js') ? ['--enable-source-maps'] : [];
    this.child = spawn(process.execPath, [...maps, '--import', harm, program], {
      stdio: ['ignore', log, log],
      env: {
        PATH: process.env.PATH,
        FILBERTPOINT_SETTINGS: settingsFile,
        FAULTS_FILE: faultsFile,
      },
    });
    closeSync(log);
    this.ended = new Promise((resolve) => {
      this.child.once('exit', (code, signal) => {
        this.isRunning = false;
        resolve(signal ?? `code ${code ?? '?'}`);
      });
    });
  }

  get id(): number {
    return this.child.pid ?? 0;
  }

  /** Whether the daemon was up in this life. */
  wasUp(): boolean {
    return readFileSync(this.logFile).subarray(this.logFrom).includes(STARTED);
  }

  /**
   * Sends a signal to this process alone. SIGHUP only once it is listened to: no program can help what comes
   * before its first line (what does is in `tests/platform/signals.test.ts`).
   */
  signal(signal: NodeJS.Signals): void {
    if (signal === 'SIGHUP' && !this.catchesHangup()) {
      return;
    }
    this.isPaused = signal === 'SIGSTOP' || (this.isPaused && signal !== 'SIGCONT');
    this.child.kill(signal);
  }

  private catchesHangup(): boolean {
    try {
      const status = readFileSync(`/proc/${this.id}/status`, 'utf8');
      const caught = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? '0';
      return (BigInt(`0x${caught}`) & 1n) === 1n;
    } catch {
      return false;
    }
  }
}
