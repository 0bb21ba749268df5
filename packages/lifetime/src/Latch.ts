/** A condition that becomes true once and then stays true. */
export class Latch {
  private hasOpened = false;

  private resolve: () => void = () => undefined;

  /** Resolves when the latch opens. */
  public readonly opened = new Promise<void>((resolve) => {
    this.resolve = resolve;
  });

  public get isOpen(): boolean {
    return this.hasOpened;
  }

  /** Opens the latch; does nothing if it is open already. */
  public open(): void {
    this.hasOpened = true;
    this.resolve();
  }
}
