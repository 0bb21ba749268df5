import * as events from 'node:events';
import * as jestGlobals from '@jest/globals';
import type * as ws from 'ws';
import * as messageInbox from './MessageInbox.js';

const { describe, expect, test } = jestGlobals;

/** A socket whose messages are emitted by the test. */
class FakeSocket extends events.EventEmitter {
  public isTerminated = false;

  public terminate(): void {
    this.isTerminated = true;
  }
}

function receiveMessages(count: number): FakeSocket {
  const socket = new FakeSocket();
  const inbox = new messageInbox.MessageInbox(socket as unknown as ws.WebSocket);
  expect(inbox).toBeDefined();
  for (let index = 0; index < count; index += 1) socket.emit('message', Buffer.from('x'));
  return socket;
}

// A connection that had proved nothing could leave thousands of messages of one byte waiting.
describe('MessageInbox', () => {
  test('closes a socket on which too many messages wait for a reader', () => {
    expect(receiveMessages(1_000).isTerminated).toBe(true);
  });

  test('keeps the messages that arrive during a handshake', () => {
    expect(receiveMessages(100).isTerminated).toBe(false);
  });
});
