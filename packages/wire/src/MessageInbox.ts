import type * as clockTypes from '@limpettack/clock';
import type * as ws from 'ws';

/**
 * Maximum number of messages that wait for a reader. A peer sends a few before its handshake has been
 * completed here; one that sends more may send small ones without end.
 */
const MAXIMUM_BUFFERED_MESSAGES = 256;

/**
 * Receives the messages of a socket and buffers them while no reader waits, so none is lost. Closes a
 * socket on which too many wait.
 */
export class MessageInbox {
  private readonly messages: Buffer[] = [];

  private listener: ((message: Buffer) => void) | undefined;

  public constructor(private readonly socket: ws.WebSocket) {
    socket.on('message', (data) => this.receive(data as Buffer));
    // An error event without a listener would end the process. Errors are not handled further,
    // because a close event follows.
    socket.on('error', () => undefined);
  }

  /** Waits for one message. Resolves with undefined after the timeout or when the socket closes. */
  public next(timeoutMs: clockTypes.Milliseconds): Promise<Buffer | undefined> {
    const message = this.messages.shift();
    if (message !== undefined) return Promise.resolve(message);
    return new Promise((resolve) => {
      const controller = new AbortController();
      const finish = (received: Buffer | undefined): void => {
        controller.abort();
        this.listener = undefined;
        resolve(received);
      };
      const timer = setTimeout(finish, timeoutMs, undefined);
      const onClose = (): void => finish(undefined);
      controller.signal.addEventListener('abort', () => {
        clearTimeout(timer);
        this.socket.off('close', onClose);
      });
      this.socket.on('close', onClose);
      this.listener = finish;
    });
  }

  /** Passes all buffered and further messages to a listener. */
  public forwardTo(listener: (message: Buffer) => void): void {
    this.listener = listener;
    this.messages.splice(0).forEach(listener);
  }

  private receive(message: Buffer): void {
    if (this.listener !== undefined) this.listener(message);
    else if (this.messages.length < MAXIMUM_BUFFERED_MESSAGES) this.messages.push(message);
    else this.socket.terminate();
  }
}
