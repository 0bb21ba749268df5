import type * as clock from '@limpettack/clock';
import type * as wire from '@limpettack/wire';
import * as messages from './messages.js';
import type { GrantResult, GrantItem } from './messages.js';

interface PendingRequest {
  readonly item: GrantItem;
  readonly resolve: (result: GrantResult) => void;
}

/** Combines the requests of one event loop iteration to the same peer into one message. */
export class GrantBatcher {
  private readonly batches = new Map<string, PendingRequest[]>();

  public constructor(
    private readonly network: Pick<wire.PeerNetwork, 'request'>,
    private readonly timeoutMs: clock.Milliseconds,
  ) {}

  /** Sends a request to the process at an address. Resolves to `pending` if the message fails. */
  public request(address: string, item: GrantItem): Promise<GrantResult> {
    return new Promise((resolve) => {
      const batch = this.batches.get(address) ?? this.openBatch(address);
      batch.push({ item, resolve });
    });
  }

  private openBatch(address: string): PendingRequest[] {
    const batch: PendingRequest[] = [];
    this.batches.set(address, batch);
    setImmediate(() => {
      this.batches.delete(address);
      this.send(address, batch).catch(() => undefined);
    });
    return batch;
  }

  private async send(address: string, batch: readonly PendingRequest[]): Promise<void> {
    const request = { items: batch.map(({ item }) => item) };
    const options = { timeoutMs: this.timeoutMs };
    const result = await this.network.request(address, messages.GRANT, request, options);
    const answers = result.isOk ? result.value.answers : [];
    const undecided = { kind: messages.GRANT_RESULT_KINDS.PENDING };
    batch.forEach(({ resolve }, index) => resolve(answers[index] ?? undecided));
  }
}
