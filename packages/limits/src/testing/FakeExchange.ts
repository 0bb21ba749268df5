import type * as wire from '@limpettack/wire';

type Handler = wire.RequestHandler<unknown, unknown>;

/** A process, as an endpoint of the exchange. */
export interface Endpoint {
  readonly self: wire.PeerIdentity;
  readonly handlers: Map<string, Handler>;
  isPaused: boolean;
  isEnded: boolean;
}

/** A message in transit. */
export interface Message {
  readonly to: () => Endpoint | undefined;
  readonly arrive: (endpoint: Endpoint) => Promise<void>;
}

/** Holds the messages in transit between processes. A test chooses the order of delivery. */
export class FakeExchange {
  public readonly endpoints = new Map<string, Endpoint>();

  private messages: Message[] = [];

  public get waiting(): number {
    return this.messages.length;
  }

  /** Sends a message. It stays in transit until it is delivered. */
  public send(message: Message): void {
    this.messages.push(message);
  }

  /** Delivers a message. It stays in transit for a paused receiver and is lost for an ended one. */
  public deliver(index: number, keepsCopy = false): void {
    const message = this.messages[index];
    const endpoint = message?.to();
    if (!message || endpoint?.isPaused) return;
    if (!keepsCopy) this.messages.splice(index, 1);
    if (endpoint && !endpoint.isEnded) message.arrive(endpoint).catch(() => undefined);
  }

  /** Removes a message from transit without delivering it. */
  public drop(index: number): void {
    this.messages.splice(index, 1);
  }

  /** Removes and returns all messages in transit, so that a test can send them later. */
  public takeAll(): readonly Message[] {
    return this.messages.splice(0);
  }

  /** Delivers all messages that can be delivered now, in the order of sending. */
  public deliverAll(): void {
    const present = this.messages;
    this.messages = [];
    present.forEach((message) => {
      if (message.to()?.isPaused) this.messages.push(message);
      else this.deliver(this.messages.push(message) - 1);
    });
  }
}
