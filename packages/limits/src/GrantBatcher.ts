import type * as clock from '@limpettack/clock';
import type * as wire from '@limpettack/wire';
import * as messages from './messages.js';
import type { GrantAnswer, GrantItem } from './messages.js';

interface Asked {
  readonly item: GrantItem;
  readonly answer: (answer: GrantAnswer) => void;
}

/** Puts the requests of one turn of the event loop to one peer into one message. */
export class GrantBatcher {
  private readonly batches = new Map<string, Asked[]>();

  public constructor(
    private readonly network: Pick<wire.PeerNetwork, 'request'>,
    private readonly timeoutMs: clock.Milliseconds,
  ) {}

  /** Asks the process at an address. A message that fails is answered `pending`. */
  public ask(address: string, item: GrantItem): Promise<GrantAnswer> {
    return new Promise((answer) => {
      const batch = this.batches.get(address) ?? this.openBatch(address);
      batch.push({ item, answer });
    });
  }

  private openBatch(address: string): Asked[] {
    const batch: Asked[] = [];
    this.batches.set(address, batch);
    setImmediate(() => {
      this.batches.delete(address);
      this.send(address, batch).catch(() => undefined);
    });
    return batch;
  }

  private async send(address: string, batch: readonly Asked[]): Promise<void> {
    const request = { items: batch.map(({ item }) => item) };
    const options = { timeoutMs: this.timeoutMs };
    const result = await this.network.request(address, messages.GRANT, request, options);
    const answers = result.isOk ? result.value.answers : [];
    const undecided = { kind: messages.ANSWER_KINDS.PENDING };
    batch.forEach(({ answer }, index) => answer(answers[index] ?? undecided));
  }
}
