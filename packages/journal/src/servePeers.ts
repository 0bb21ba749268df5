import * as errors from '@limpettack/errors';
import * as lifetime from '@limpettack/lifetime';
import type * as wire from '@limpettack/wire';
import * as trueMyth from 'true-myth';
import * as peerMethods from './peerMethods.js';
import type * as shardSlot from './ShardSlot.js';

/** The part of a slot that peers reach. */
export type ServedShard = Pick<shardSlot.ShardSlot<unknown, unknown>, 'standbyDuty' | 'look'>;

/** What answers the peers. */
export interface PeerService {
  slot(shard: number): ServedShard | undefined;
  exchange(request: peerMethods.ExchangeRequest): peerMethods.ExchangeResponse;
  /** Looks at a shard that may have been released in favour of this process. */
  supervise(): void;
}

/** Serves the journal's messages between VMs until disposed of. */
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
      return slot === undefined ? refuseUnknown() : slot.standbyDuty.vouch(epoch);
    }),
  );
  store.add(
    network.serve(peerMethods.replicate, async (request) => {
      const slot = service.slot(request.shard);
      return slot === undefined ? refuseUnknown() : slot.standbyDuty.hold(request);
    }),
  );
  store.add(
    network.serve(peerMethods.offer, async ({ shard }) => {
      await service.slot(shard)?.look();
      service.supervise();
      return trueMyth.Result.ok({});
    }),
  );
  store.add(
    network.serve(peerMethods.yieldShard, async ({ shard, epoch }) => {
      const answer = service.slot(shard)?.standbyDuty.acceptYield(epoch) ?? refuseUnknown();
      // The claim begins before the answer is sent, so nothing is granted to the owner after it.
      if (answer.isOk) service.supervise();
      return answer;
    }),
  );
  return store;
}

function refuseUnknown(): trueMyth.Result<object, errors.Fault> {
  return trueMyth.Result.err(errors.createFault('bad-request', 'There is no such shard.'));
}
