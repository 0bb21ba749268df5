import type * as wire from '@limpettack/wire';

/** Timeout of a notification to a peer. */
const NOTIFICATION_TIMEOUT_MS = 500;

/** Number of peers that are notified in parallel. */
const NOTIFICATION_CONCURRENCY = 16;

/** Sends a message to peers. Peers that do not respond are skipped. */
export async function notifyPeers<Request, Response>(
  network: wire.PeerNetwork,
  peers: readonly Pick<wire.PeerIdentity, 'address'>[],
  method: wire.PeerMethod<Request, Response>,
  request: Request,
): Promise<void> {
  const options = { timeoutMs: NOTIFICATION_TIMEOUT_MS };
  for (let start = 0; start < peers.length; start += NOTIFICATION_CONCURRENCY) {
    await Promise.all(
      peers
        .slice(start, start + NOTIFICATION_CONCURRENCY)
        .map(({ address }) => network.request(address, method, request, options)),
    );
  }
}
