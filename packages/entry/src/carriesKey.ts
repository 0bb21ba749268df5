import type * as http from 'node:http';

/** Escapes of paths, forms and JSON texts, which a target would read as plain characters. */
const ESCAPE_PATTERN = /%([0-9a-f]{2})|\\u([0-9a-f]{4})|\\(\/)/gi;

/** Bytes that stand in every escape. */
const ESCAPE_MARKS = ['%', '\\u', '\\U', '\\/'];

const HEXADECIMAL = 16;

/** Tells whether anything of a request but its Authorization field carries the caller's key. */
export function carriesKey(
  request: Pick<http.IncomingMessage, 'url' | 'headers'>,
  body: Buffer,
  key: string,
): boolean {
  const forms = [key, encodeURIComponent(key), Buffer.from(key).toString('base64')];
  const fields = Object.entries(request.headers)
    .filter(([name]) => name !== 'authorization')
    .flatMap(([name, value]) => [name, ...[value ?? ''].flat()]);
  const texts = [request.url ?? '', ...fields].flatMap((text) => [text, unescaped(text)]);
  if (forms.some((form) => texts.some((text) => text.includes(form)))) return true;
  return forms.some((form) => body.includes(form)) || carriesEscaped(body, forms);
}

/** Most bodies have no escape and are not copied. */
function carriesEscaped(body: Buffer, forms: readonly string[]): boolean {
  if (!ESCAPE_MARKS.some((mark) => body.includes(mark))) return false;
  const text = unescaped(body.toString('utf8'));
  return forms.some((form) => text.includes(form));
}

function unescaped(text: string): string {
  return text.replaceAll(
    ESCAPE_PATTERN,
    (_escape, percent?: string, unicode?: string, character?: string) =>
      character ?? String.fromCharCode(parseInt(percent ?? unicode ?? '', HEXADECIMAL)),
  );
}
