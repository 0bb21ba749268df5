/** Limits the number of concurrent reads. Further reads wait in the order of their arrival. */
export class ReadLimiter {
  private readonly waiting: (() => void)[] = [];

  private running = 0;

  /** @param maximumConcurrent The maximum number of reads that run at the same time. */
  public constructor(private readonly maximumConcurrent: number) {}

  /** Runs a read as soon as the limit allows it. */
  public async run<Value>(read: () => Promise<Value>): Promise<Value> {
    if (this.running < this.maximumConcurrent) {
      this.running += 1;
    } else {
      await new Promise<void>((resolve) => {
        this.waiting.push(resolve);
      });
    }
    try {
      return await read();
    } finally {
      const next = this.waiting.shift();
      // The slot passes directly to the next waiting read, so that no later read overtakes it.
      if (next === undefined) this.running -= 1;
      else next();
    }
  }
}
