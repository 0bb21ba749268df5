/** Runs reads side by side up to a number; others wait, in the order in which they came. */
export class ReadLanes {
  private readonly waiting: (() => void)[] = [];

  private running = 0;

  /** @param lanes Reads that run at one time at most. */
  public constructor(private readonly lanes: number) {}

  /** Runs a read when a lane is free. */
  public async run<Value>(read: () => Promise<Value>): Promise<Value> {
    if (this.running < this.lanes) {
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
      // The lane goes straight to the next read, so that none that comes later overtakes it.
      if (next === undefined) this.running -= 1;
      else next();
    }
  }
}
