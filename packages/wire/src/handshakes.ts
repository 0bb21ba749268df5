import * as msgpackr from 'msgpackr';
import * as ws from 'ws';
import type * as zod from 'zod';
import * as handshake from './handshake.js';
import * as messageInbox from './MessageInbox.js';
import type { PeerIdentity } from './Types.js';

/** Time for each message of the handshake, in milliseconds. */
const HANDSHAKE_TIMEOUT_MS = 1_000;

/** The path that peers connect to. */
const PEER_PATH = '/peer';

/** The largest message on a link, in bytes. */
export const MAXIMUM_MESSAGE_BYTES = 32 * 1024 * 1024;

/** A connection on which both sides have proved themselves. */
export interface ProvenConnection {
  readonly socket: ws.WebSocket;
  readonly inbox: messageInbox.MessageInbox;
  readonly peer: PeerIdentity;
}

/** Connects to a peer and opens the handshake; nothing when either fails. */
export async function openHandshake(
  address: string,
  self: PeerIdentity,
  secret: string,
): Promise<ProvenConnection | undefined> {
  const socket = connect(address);
  if (socket === undefined) return undefined;
  const inbox = new messageInbox.MessageInbox(socket);
  if (!(await opened(socket))) return undefined;
  const openerNonce = handshake.createNonce();
  socket.send(msgpackr.pack({ identity: self, nonce: openerNonce }));
  const challenge = await nextMessage(inbox, handshake.CHALLENGE);
  if (challenge === undefined) return abandon(socket);
  const facts = {
    opener: self,
    accepter: challenge.identity,
    openerNonce,
    accepterNonce: challenge.nonce,
  };
  const expected = handshake.createProof(secret, handshake.HANDSHAKE_SIDES.ACCEPTER, facts);
  if (!handshake.proofsMatch(challenge.proof, expected)) return abandon(socket);
  const proof = handshake.createProof(secret, handshake.HANDSHAKE_SIDES.OPENER, facts);
  socket.send(msgpackr.pack({ proof }));
  return { socket, inbox, peer: challenge.identity };
}

/** Begins to connect; nothing when the address is malformed. Addresses come from others. */
function connect(address: string): ws.WebSocket | undefined {
  try {
    return new ws.WebSocket(`ws://${address}${PEER_PATH}`, {
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
      maxPayload: MAXIMUM_MESSAGE_BYTES,
      perMessageDeflate: false,
    });
  } catch {
    // The caller is told that there is no link, as with an address that nobody has.
    return undefined;
  }
}

/** Accepts a connection's handshake; nothing when the opener does not prove itself. */
export async function acceptHandshake(
  socket: ws.WebSocket,
  self: PeerIdentity,
  secret: string,
): Promise<ProvenConnection | undefined> {
  const inbox = new messageInbox.MessageInbox(socket);
  const hello = await nextMessage(inbox, handshake.HELLO);
  if (hello === undefined) return abandon(socket);
  const facts = {
    opener: hello.identity,
    accepter: self,
    openerNonce: hello.nonce,
    accepterNonce: handshake.createNonce(),
  };
  const proof = handshake.createProof(secret, handshake.HANDSHAKE_SIDES.ACCEPTER, facts);
  socket.send(msgpackr.pack({ identity: self, nonce: facts.accepterNonce, proof }));
  const given = await nextMessage(inbox, handshake.PROOF);
  if (given === undefined) return abandon(socket);
  const expected = handshake.createProof(secret, handshake.HANDSHAKE_SIDES.OPENER, facts);
  if (!handshake.proofsMatch(given.proof, expected)) return abandon(socket);
  return { socket, inbox, peer: hello.identity };
}

function opened(socket: ws.WebSocket): Promise<boolean> {
  return new Promise((resolve) => {
    socket.once('open', () => resolve(true));
    socket.once('close', () => resolve(false));
  });
}

function abandon(socket: ws.WebSocket): undefined {
  socket.terminate();
  return undefined;
}

/** Waits for one checked message; nothing when it is malformed, late or the socket closes. */
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
