import * as msgpackr from 'msgpackr';
import * as ws from 'ws';
import type * as zod from 'zod';
import * as handshakeMessages from './handshakeMessages.js';
import * as messageInbox from './MessageInbox.js';
import type { PeerIdentity } from './Types.js';

/** Timeout of each message of the handshake, in milliseconds. */
const HANDSHAKE_TIMEOUT_MS = 1_000;

/** The HTTP path that peers connect to. */
const PEER_PATH = '/peer';

/** The maximum size of a message on a link, in bytes. */
export const MAXIMUM_MESSAGE_BYTES = 32 * 1024 * 1024;

/** The maximum number of parts of a message. Peers send each message as a whole. */
export const MAXIMUM_FRAGMENTS = 16;

/** A connection on which both sides have proved that they hold the secret. */
export interface AuthenticatedConnection {
  readonly socket: ws.WebSocket;
  readonly inbox: messageInbox.MessageInbox;
  readonly peer: PeerIdentity;
}

/**
 * Connects to a peer and performs the handshake as the opener. Returns undefined if either fails.
 */
export async function openHandshake(
  address: string,
  self: PeerIdentity,
  secret: string,
): Promise<AuthenticatedConnection | undefined> {
  const socket = connect(address);
  if (socket === undefined) return undefined;
  const inbox = new messageInbox.MessageInbox(socket);
  if (!(await waitForOpen(socket))) return undefined;
  const openerNonce = handshakeMessages.createNonce();
  socket.send(msgpackr.pack({ identity: self, nonce: openerNonce }));
  const challenge = await nextMessage(inbox, handshakeMessages.CHALLENGE);
  if (challenge === undefined) return terminate(socket);
  const transcript = {
    opener: self,
    accepter: challenge.identity,
    openerNonce,
    accepterNonce: challenge.nonce,
  };
  const expected = handshakeMessages.createProof(
    secret,
    handshakeMessages.HANDSHAKE_SIDES.ACCEPTER,
    transcript,
  );
  if (!handshakeMessages.proofsMatch(challenge.proof, expected)) return terminate(socket);
  const proof = handshakeMessages.createProof(
    secret,
    handshakeMessages.HANDSHAKE_SIDES.OPENER,
    transcript,
  );
  socket.send(msgpackr.pack({ proof }));
  return { socket, inbox, peer: challenge.identity };
}

/**
 * Starts to connect. Returns undefined if the address, which other processes supply, is malformed.
 */
function connect(address: string): ws.WebSocket | undefined {
  try {
    return new ws.WebSocket(`ws://${address}${PEER_PATH}`, {
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
      maxPayload: MAXIMUM_MESSAGE_BYTES,
      maxFragments: MAXIMUM_FRAGMENTS,
      perMessageDeflate: false,
    });
  } catch {
    // The request then fails because there is no link, as for an address where no process listens.
    return undefined;
  }
}

/**
 * Performs the handshake as the accepter. Returns undefined if the opener does not prove that it
 * holds the secret.
 */
export async function acceptHandshake(
  socket: ws.WebSocket,
  self: PeerIdentity,
  secret: string,
): Promise<AuthenticatedConnection | undefined> {
  const inbox = new messageInbox.MessageInbox(socket);
  const hello = await nextMessage(inbox, handshakeMessages.HELLO);
  if (hello === undefined) return terminate(socket);
  const transcript = {
    opener: hello.identity,
    accepter: self,
    openerNonce: hello.nonce,
    accepterNonce: handshakeMessages.createNonce(),
  };
  const proof = handshakeMessages.createProof(
    secret,
    handshakeMessages.HANDSHAKE_SIDES.ACCEPTER,
    transcript,
  );
  socket.send(msgpackr.pack({ identity: self, nonce: transcript.accepterNonce, proof }));
  const received = await nextMessage(inbox, handshakeMessages.PROOF);
  if (received === undefined) return terminate(socket);
  const expected = handshakeMessages.createProof(
    secret,
    handshakeMessages.HANDSHAKE_SIDES.OPENER,
    transcript,
  );
  if (!handshakeMessages.proofsMatch(received.proof, expected)) return terminate(socket);
  return { socket, inbox, peer: hello.identity };
}

function waitForOpen(socket: ws.WebSocket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.once('open', () => resolve(true));
    socket.once('close', () => resolve(false));
  });
}

function terminate(socket: ws.WebSocket): undefined {
  socket.terminate();
  return undefined;
}

/**
 * Waits for one message and validates it. Returns undefined if it is malformed or late, or if the
 * socket closes.
 */
async function nextMessage<Message>(
  inbox: messageInbox.MessageInbox,
  schema: zod.ZodType<Message>,
): Promise<Message | undefined> {
  const data = await inbox.next(HANDSHAKE_TIMEOUT_MS);
  return data === undefined ? undefined : decode(data, schema);
}

function decode<Message>(data: Buffer, schema: zod.ZodType<Message>): Message | undefined {
  try {
    return schema.safeParse(msgpackr.unpack(data)).data;
  } catch {
    return undefined;
  }
}
