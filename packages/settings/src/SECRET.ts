import * as zod from 'zod';

/** A secret: its text, the file that holds it, or the environment variable that holds it. */
export const SECRET = zod.union(
  [
    zod.string().min(1),
    zod.strictObject({ file: zod.string().min(1) }),
    zod.strictObject({ environment: zod.string().min(1) }),
  ],
  'give a text, { file: PATH } or { environment: NAME }',
);
