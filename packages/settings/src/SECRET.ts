import * as zod from 'zod';

/** Schema of a secret: its text, or the file or environment variable that contains it. */
export const SECRET = zod.union(
  [
    zod.string().min(1),
    zod.strictObject({ file: zod.string().min(1) }),
    zod.strictObject({ environment: zod.string().min(1) }),
  ],
  'give a text, { file: PATH } or { environment: NAME }',
);
