import type * as http from 'node:http';
import type * as net from 'node:net';

/**
 * Closes a connection with a TCP reset. A connection whose writing side has been ended, or that is
 * not open yet, is destroyed without a reset: Node.js cannot reset it, would never close its
 * handle, and would then loop forever when the process exits.
 */
export function resetSocket(socket: net.Socket): void {
  if (socket.writableEnded || socket.connecting || socket.destroyed) socket.destroy();
  else socket.resetAndDestroy();
}

/** Closes the connection of a response with a TCP reset. */
export function resetResponse(response: http.ServerResponse): void {
  if (response.socket !== null) resetSocket(response.socket);
}
