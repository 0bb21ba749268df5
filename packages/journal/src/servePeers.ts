import * as errors from '@limpettack/errors';
import * as lifetime from '@limpettack/lifetime';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as peerMethods from './peerMethods.js';
import type * as shardSlot from './ShardSlot.js';

/** The properties and methods of a slot that peers' requests use. */
export type ServedShard = Pick<shardSlot.ShardSlot<unknown, unknown>, 'standbyRole' | 'readToEnd'>;

/** The operations of the journal that peers' requests call. */
export interface PeerService {
  slot(shard: number): ServedShard | undefined;
  exchange(request: peerMethods.ExchangeRequest): peerMethods.ExchangeResponse;
  /** Checks for shards that this process can claim now. */
  supervise(): void;
}

/** Serves the journal's requests between VMs until disposed. */
export function servePeers(network: wire.PeerNetwork, service: PeerService): lifetime.Disposable {
  const store = new lifetime.DisposableStore();
  store.add(
    network.serve(peerMethods.exchange, async (request) =>
      trueMyth.Result.ok(service.exchange(request)),
    ),
  );
  store.add(
    network.serve(peerMethods.authority, async ({ shard, epoch }) => {
      const slot = service.slot(shard);
      return slot === undefined ? refuseUnknown() : slot.standbyRole.confirmOwner(epoch);
    }),
  );
  store.add(
    network.serve(peerMethods.replicate, async (request) => {
      const slot = service.slot(request.shard);
      return slot === undefined ? refuseUnknown() : slot.standbyRole.hold(request);
    }),
  );
  store.add(
    network.serve(peerMethods.offer, async ({ shard }) => {
      await service.slot(shard)?.readToEnd();
      service.supervise();
      return trueMyth.Result.ok({});
    }),
  );
  store.add(
    network.serve(peerMethods.yieldShard, async ({ shard, epoch }) => {
      const result = service.slot(shard)?.standbyRole.acceptYield(epoch) ?? refuseUnknown();
      // The claim starts before the reply is sent, so the owner gets no confirmation after it.
      if (result.isOk) service.supervise();
      return result;
    }),
  );
  return store;
}

function refuseUnknown(): trueMyth.Result<object, errors.Fault> {
  return trueMyth.Result.err(errors.createFault('bad-request', 'There is no such shard.'));
}
