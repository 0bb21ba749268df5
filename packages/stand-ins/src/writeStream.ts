import type * as engineCall from './EngineCall.js';
import * as outcomes from './Outcomes.js';
import type * as targetHost from './TargetHost.js';

/** What a stream has to ask for of its target. */
export interface StreamFaults {
  /** After how many chunks the connection is destroyed; null for never. */
  dropAfterChunks(): number | null;
  /** Resolves when streams may send, or when the signal aborts. */
  untilUnstalled(signal: AbortSignal): Promise<void>;
}

/** Sends the chunks of a call after the first so many as server-sent events, until it ends. */
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
    await faults.untilUnstalled(closed);
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
      await call.nextProgress(closed);
    } else {
      break;
    }
  }
  if (call.outcome === outcomes.OUTCOMES.FINISHED) response.write('data: [DONE]\n\n');
  response.end();
}
