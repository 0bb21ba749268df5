import * as trueMyth from 'true-myth';
import * as yaml from 'yaml';
import type * as zod from 'zod';
import type { SettingsError, SettingsResult } from './Types.js';

type Path = readonly PropertyKey[];

/** Reads settings written in YAML and checks them. Names that the schema lacks are errors. */
export function loadSettings<Settings>(
  schema: zod.ZodType<Settings>,
  text: string,
): SettingsResult<Settings> {
  const lines = new yaml.LineCounter();
  const document = yaml.parseDocument(text, { lineCounter: lines, prettyErrors: false });
  const syntaxErrors = [...document.errors, ...document.warnings];
  if (syntaxErrors.length > 0) {
    return trueMyth.Result.err(syntaxErrors.map((error) => describeSyntaxError(error, lines)));
  }
  const checked = schema.safeParse(document.toJS());
  if (checked.success) return trueMyth.Result.ok(checked.data);
  return trueMyth.Result.err(
    checked.error.issues.flatMap((issue) => describeIssue(issue, document, lines)),
  );
}

function describeSyntaxError(error: yaml.YAMLError, lines: yaml.LineCounter): SettingsError {
  return { path: '', line: lines.linePos(error.pos[0]).line, message: error.message };
}

function describeIssue(
  issue: zod.core.$ZodIssue,
  document: yaml.Document,
  lines: yaml.LineCounter,
): readonly SettingsError[] {
  if (issue.code !== 'unrecognized_keys') {
    const { path, message } = issue;
    return [{ path: path.join('.'), line: lineOf(path, document, lines), message }];
  }
  return issue.keys.map((key) => {
    const path = [...issue.path, key];
    const line = lineOf(path, document, lines);
    return { path: path.join('.'), line, message: 'There is no setting of this name.' };
  });
}

/** The line of the setting, or of the closest one around it that the file has. */
function lineOf(path: Path, document: yaml.Document, lines: yaml.LineCounter): number {
  for (let { length } = path; length > 0; length -= 1) {
    const offset = offsetOf(path.slice(0, length), document);
    if (offset !== undefined) return lines.linePos(offset).line;
  }
  return 1;
}

function offsetOf(path: Path, document: yaml.Document): number | undefined {
  const parent = document.getIn(path.slice(0, -1), true);
  const name = path.at(-1);
  if (yaml.isMap(parent)) {
    // The line of the name, as a value that is a map may start on a later line.
    const pair = parent.items.find((item) => yaml.isScalar(item.key) && item.key.value === name);
    return yaml.isScalar(pair?.key) ? pair.key.range?.[0] : undefined;
  }
  const node = document.getIn(path, true);
  return yaml.isNode(node) ? node.range?.[0] : undefined;
}

/** Writes an error as one line, such as `12: limits.burst: must be at least 1`. */
export function formatSettingsError(error: SettingsError): string {
  const path = error.path === '' ? '' : ` ${error.path}:`;
  return `line ${error.line}:${path} ${error.message}`;
}
