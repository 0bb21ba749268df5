/** How long an answer with some decisions waits for the others. */
export const LINGER_MS = 10;

/** How long to wait before a request is asked again when no claim is seen meanwhile. */
export const ASK_AGAIN_MS = 20;

/**
 * How long before its end a request needs its token, in milliseconds: it hears of the token when its
 * requester asks again, or when the answer has waited for other decisions.
 */
export const HEARING_MS = ASK_AGAIN_MS + LINGER_MS;
