interface Waiter {
  readonly priority: number;
  readonly start: (hasSlot: boolean) => void;
}

/** Gives a fixed number of slots to those who wait; a smaller priority goes first. */
export class SlotQueue {
  private readonly waiters: Waiter[] = [];

  private taken = 0;

  public constructor(private readonly slots: number) {}

  /** Slots in use. */
  public get running(): number {
    return this.taken;
  }

  /** How many wait for a slot. */
  public get waiting(): number {
    return this.waiters.length;
  }

  /** Waits for a slot; false when the signal aborted first. */
  public acquire(priority: number, signal: AbortSignal): Promise<boolean> {
    return new Promise((resolve) => {
      if (signal.aborted) {
        resolve(false);
        return;
      }
      const waiter = { priority, start: resolve };
      this.insert(waiter);
      signal.addEventListener('abort', () => this.withdraw(waiter), { once: true });
      this.startNext();
    });
  }

  /** Gives a slot back. */
  public release(): void {
    this.taken -= 1;
    this.startNext();
  }

  private insert(waiter: Waiter): void {
    const behind = this.waiters.findIndex((other) => other.priority > waiter.priority);
    this.waiters.splice(behind < 0 ? this.waiters.length : behind, 0, waiter);
  }

  private withdraw(waiter: Waiter): void {
    const index = this.waiters.indexOf(waiter);
    if (index < 0) return;
    this.waiters.splice(index, 1);
    waiter.start(false);
  }

  private startNext(): void {
    if (this.taken >= this.slots) return;
    const next = this.waiters.shift();
    if (next === undefined) return;
    this.taken += 1;
    next.start(true);
  }
}
