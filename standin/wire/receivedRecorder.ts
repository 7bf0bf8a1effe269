/** Keeps what clients sent, up to a limit, so that tests can search it. */
export class ReceivedRecorder {
  private readonly chunks: Buffer[] = [];
  private bytes = 0;
  private isCut = false;

  constructor(private readonly limitBytes: number) {}

  /** Whether everything received is still kept. */
  get isComplete(): boolean {
    return !this.isCut;
  }

  /** Keeps a copy of received bytes. */
  add(chunk: Uint8Array): void {
    if (this.bytes + chunk.length > this.limitBytes) {
      this.isCut = true;
      return;
    }
    this.chunks.push(Buffer.from(chunk));
    this.bytes += chunk.length;
  }

  /** How many received messages contain a text. */
  countContaining(text: string): number {
    const needle = Buffer.from(text);
    return this.chunks.filter((chunk) => chunk.includes(needle)).length;
  }
}
