import * as fs from 'node:fs/promises';
import * as errors from '@limpettack/errors';
import * as jestGlobals from '@jest/globals';

const { describe, expect, test } = jestGlobals;

const DOCUMENT = new URL('../docs/ERRORS.md', import.meta.url);

async function readTableRows(): Promise<readonly (readonly string[])[]> {
  const text = await fs.readFile(DOCUMENT, 'utf8');
  return text
    .split('\n')
    .filter((line) => line.startsWith('| `'))
    .map((line) =>
      line
        .split('|')
        .slice(1, -1)
        .map((cell) => cell.trim()),
    );
}

describe('docs/ERRORS.md', () => {
  test('lists the error kinds that the code defines', async () => {
    const expected = Object.entries(errors.ERROR_KINDS).map(([kind, definition]) => [
      `\`${kind}\``,
      String(definition.status),
      `\`${definition.run}\``,
      String(definition.retryAfterMs),
      definition.meaning,
    ]);
    expect(await readTableRows()).toEqual(expected);
  });
});
