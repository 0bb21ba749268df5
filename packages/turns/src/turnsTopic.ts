/** The topic of the log that holds retained turns, with the bodies of their requests. */
export const TURNS_TOPIC = 'kept-turns';
