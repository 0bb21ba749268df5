import type * as engineCall from './EngineCall.js';
import * as outcomes from './Outcomes.js';
import type * as targetHost from './TargetHost.js';

/** Injected faults of the target that affect a stream. */
export interface StreamFaults {
  /** Number of chunks after which the connection is destroyed; null for never. */
  dropAfterChunks(): number | null;
  /** Resolves when streams are not stalled, or when the signal aborts. */
  waitWhileStalled(signal: AbortSignal): Promise<void>;
}

/** Sends the chunks of a call from index `after` as server-sent events, until the call ends. */
export async function writeStream(
  call: engineCall.EngineCall,
  after: number,
  exchange: targetHost.TargetExchange,
  faults: StreamFaults,
): Promise<void> {
  const { response, closed } = exchange;
  response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' });
  response.flushHeaders();
  let next = after;
  while (!closed.aborted) {
    await faults.waitWhileStalled(closed);
    const dropAfterChunks = faults.dropAfterChunks();
    if (dropAfterChunks !== null && next - after >= dropAfterChunks) {
      response.socket?.destroy();
      return;
    }
    const chunk = call.chunks[next];
    if (chunk !== undefined) {
      response.write(`id: ${next}\ndata: ${chunk}\n\n`);
      next += 1;
    } else if (call.outcome === undefined) {
      await call.waitForProgress(closed);
    } else {
      break;
    }
  }
  if (call.outcome === outcomes.OUTCOMES.FINISHED) response.write('data: [DONE]\n\n');
  response.end();
}
