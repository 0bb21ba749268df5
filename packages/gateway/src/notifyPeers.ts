import type * as wire from '@limpettack/wire';

/** Timeout of a notification to a peer. */
const NOTIFICATION_TIMEOUT_MS = 500;

/** Number of peers that are notified in parallel. */
const NOTIFICATION_CONCURRENCY = 16;

/** Sends a message to peers. Peers that do not respond are skipped, and returned. */
export async function notifyPeers<
  Peer extends Pick<wire.PeerIdentity, 'address'>,
  Request,
  Response,
>(
  network: wire.PeerNetwork,
  peers: readonly Peer[],
  method: wire.PeerMethod<Request, Response>,
  request: Request,
): Promise<readonly Peer[]> {
  const options = { timeoutMs: NOTIFICATION_TIMEOUT_MS };
  const failed: Peer[] = [];
  for (let start = 0; start < peers.length; start += NOTIFICATION_CONCURRENCY) {
    await Promise.all(
      peers.slice(start, start + NOTIFICATION_CONCURRENCY).map(async (peer) => {
        const response = await network.request(peer.address, method, request, options);
        if (response.isErr) failed.push(peer);
      }),
    );
  }
  return failed;
}
