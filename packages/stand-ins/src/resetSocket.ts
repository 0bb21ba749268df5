import type * as http from 'node:http';
import type * as net from 'node:net';

/**
 * Closes a connection with a reset. One whose writing side has been ended, or that is not open
 * yet, is closed without: the runtime cannot reset it, would never close its handle, and would
 * then spin for ever at the exit of the process.
 */
export function resetSocket(socket: net.Socket): void {
  if (socket.writableEnded || socket.connecting || socket.destroyed) socket.destroy();
  else socket.resetAndDestroy();
}

/** Closes the connection of an answer with a reset. */
export function resetResponse(response: http.ServerResponse): void {
  if (response.socket !== null) resetSocket(response.socket);
}
