/** Fields that belong to one connection, or that each sender sets itself; they are not passed on. */
export const CONNECTION_FIELDS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);
