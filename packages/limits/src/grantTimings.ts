/** How long a response waits for other decisions after the first one. */
export const LINGER_MS = 10;

/** How long to wait before a request is retried, unless a new claim is seen earlier. */
export const RETRY_INTERVAL_MS = 20;

/**
 * How long before it expires a request must get its token, in milliseconds. The requester receives
 * the grant only on its next retry, or after the response has waited for other decisions.
 */
export const DELIVERY_MARGIN_MS = RETRY_INTERVAL_MS + LINGER_MS;
