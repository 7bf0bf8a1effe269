/** Time between two trials of one class of requests at one entry host, in milliseconds. */
export const TRIAL_INTERVAL_MS = 1000;
const MAXIMUM_CLASSES = 4096;

/** Lets a request through now and then although the figures speak against it. */
export class Trials {
  private readonly lastMs = new Map<string, number>();

  /** Takes the trial that is due for a class; false if the last one was too recent. */
  tryTake(requestClass: string, nowMs: number): boolean {
    const lastMs = this.lastMs.get(requestClass) ?? Number.NEGATIVE_INFINITY;
    if (nowMs >= lastMs && nowMs - lastMs < TRIAL_INTERVAL_MS) {
      return false;
    }
    this.recordAdmission(requestClass, nowMs);
    return true;
  }

  /** Records that a request of the class was admitted, which shows as much as a trial. */
  recordAdmission(requestClass: string, nowMs: number): void {
    this.lastMs.delete(requestClass);
    this.lastMs.set(requestClass, nowMs);
    if (this.lastMs.size > MAXIMUM_CLASSES) {
      const oldest = this.lastMs.keys().next();
      if (oldest.done !== true) {
        this.lastMs.delete(oldest.value);
      }
    }
  }
}
