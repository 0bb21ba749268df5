interface Waiter {
  readonly priority: number;
  readonly resolveAcquire: (hasSlot: boolean) => void;
}

/** Semaphore with a fixed number of slots; waiters with a smaller priority value go first. */
export class SlotQueue {
  private readonly waiters: Waiter[] = [];

  private usedSlots = 0;

  public constructor(private readonly slots: number) {}

  /** Number of slots in use. */
  public get running(): number {
    return this.usedSlots;
  }

  /** Number of waiters. */
  public get waiting(): number {
    return this.waiters.length;
  }

  /** Waits for a slot. Resolves with false when the signal aborts first. */
  public acquire(priority: number, signal: AbortSignal): Promise<boolean> {
    return new Promise((resolve) => {
      if (signal.aborted) {
        resolve(false);
        return;
      }
      const waiter = { priority, resolveAcquire: resolve };
      this.insert(waiter);
      signal.addEventListener('abort', () => this.removeWaiter(waiter), { once: true });
      this.startNext();
    });
  }

  /** Releases a slot and starts the next waiter. */
  public release(): void {
    this.usedSlots -= 1;
    this.startNext();
  }

  private insert(waiter: Waiter): void {
    const insertIndex = this.waiters.findIndex((other) => other.priority > waiter.priority);
    this.waiters.splice(insertIndex < 0 ? this.waiters.length : insertIndex, 0, waiter);
  }

  private removeWaiter(waiter: Waiter): void {
    const index = this.waiters.indexOf(waiter);
    if (index < 0) return;
    this.waiters.splice(index, 1);
    waiter.resolveAcquire(false);
  }

  private startNext(): void {
    if (this.usedSlots >= this.slots) return;
    const next = this.waiters.shift();
    if (next === undefined) return;
    this.usedSlots += 1;
    next.resolveAcquire(true);
  }
}
