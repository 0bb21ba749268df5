import type * as http from 'node:http';

/** Escapes in paths, forms and JSON strings that a target would decode. */
const ESCAPE_PATTERN = /%([0-9a-f]{2})|\\u([0-9a-f]{4})|\\(\/)/gi;

/** Every escape contains one of these texts. */
const ESCAPE_MARKS = ['%', '\\u', '\\U', '\\/'];

const HEXADECIMAL = 16;

/** Whether a request contains the caller's key anywhere but in its Authorization field. */
export function carriesKey(
  request: Pick<http.IncomingMessage, 'url' | 'headers'>,
  body: Buffer,
  key: string,
): boolean {
  const forms = [key, encodeURIComponent(key), Buffer.from(key).toString('base64')];
  const fields = Object.entries(request.headers)
    .filter(([name]) => name !== 'authorization')
    .flatMap(([name, value]) => [name, ...[value ?? ''].flat()]);
  const texts = [request.url ?? '', ...fields].flatMap((text) => [text, decodeEscapes(text)]);
  if (forms.some((form) => texts.some((text) => text.includes(form)))) return true;
  return forms.some((form) => body.includes(form)) || containsEscapedKey(body, forms);
}

/**
 * Whether the body contains the key with escaped characters. The body is decoded only if it
 * contains an escape, because most bodies do not.
 */
function containsEscapedKey(body: Buffer, forms: readonly string[]): boolean {
  if (!ESCAPE_MARKS.some((mark) => body.includes(mark))) return false;
  const text = decodeEscapes(body.toString('utf8'));
  return forms.some((form) => text.includes(form));
}

function decodeEscapes(text: string): string {
  return text.replaceAll(
    ESCAPE_PATTERN,
    (_escape, percent?: string, unicode?: string, character?: string) =>
      character ?? String.fromCharCode(parseInt(percent ?? unicode ?? '', HEXADECIMAL)),
  );
}
