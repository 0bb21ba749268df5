/** The maximum size of a key in the log, in bytes of UTF-8. */
export const MAXIMUM_KEY_BYTES = 255;
