/** A count with the highest value that it ever had. */
export class Gauge {
  private count = 0;
  private highest = 0;

  get value(): number {
    return this.count;
  }

  get maximum(): number {
    return this.highest;
  }

  increment(): void {
    this.count += 1;
    this.highest = Math.max(this.highest, this.count);
  }

  decrement(): void {
    this.count -= 1;
  }
}
