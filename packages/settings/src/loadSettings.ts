import * as trueMyth from 'true-myth';
import * as yaml from 'yaml';
import type * as zod from 'zod';
import type { SettingsError, SettingsResult } from './Types.js';

type Path = readonly PropertyKey[];

/** Parses settings in YAML and validates them. With strict schemas, unknown names are errors. */
export function loadSettings<Settings>(
  schema: zod.ZodType<Settings>,
  text: string,
): SettingsResult<Settings> {
  const lineCounter = new yaml.LineCounter();
  const document = yaml.parseDocument(text, { lineCounter, prettyErrors: false });
  const syntaxErrors = [...document.errors, ...document.warnings];
  if (syntaxErrors.length > 0) {
    return trueMyth.Result.err(
      syntaxErrors.map((error) => describeSyntaxError(error, lineCounter)),
    );
  }
  const checked = schema.safeParse(document.toJS());
  if (checked.success) return trueMyth.Result.ok(checked.data);
  return trueMyth.Result.err(
    checked.error.issues.flatMap((issue) => describeIssue(issue, document, lineCounter)),
  );
}

function describeSyntaxError(error: yaml.YAMLError, lineCounter: yaml.LineCounter): SettingsError {
  return { path: '', line: lineCounter.linePos(error.pos[0]).line, message: error.message };
}

function describeIssue(
  issue: zod.core.$ZodIssue,
  document: yaml.Document,
  lineCounter: yaml.LineCounter,
): readonly SettingsError[] {
  if (issue.code !== 'unrecognized_keys') {
    const { path, message } = issue;
    return [{ path: path.join('.'), line: lineOf(path, document, lineCounter), message }];
  }
  return issue.keys.map((key) => {
    const path = [...issue.path, key];
    const line = lineOf(path, document, lineCounter);
    return { path: path.join('.'), line, message: 'There is no setting of this name.' };
  });
}

/** Returns the line of a setting, or of the closest enclosing setting that the file contains. */
function lineOf(path: Path, document: yaml.Document, lineCounter: yaml.LineCounter): number {
  for (let { length } = path; length > 0; length -= 1) {
    const offset = offsetOf(path.slice(0, length), document);
    if (offset !== undefined) return lineCounter.linePos(offset).line;
  }
  return 1;
}

function offsetOf(path: Path, document: yaml.Document): number | undefined {
  const parent = document.getIn(path.slice(0, -1), true);
  const name = path.at(-1);
  if (yaml.isMap(parent)) {
    // Uses the position of the name, as a value that is a map may start on a later line.
    const pair = parent.items.find((item) => yaml.isScalar(item.key) && item.key.value === name);
    return yaml.isScalar(pair?.key) ? pair.key.range?.[0] : undefined;
  }
  const node = document.getIn(path, true);
  return yaml.isNode(node) ? node.range?.[0] : undefined;
}

/** Formats an error as one line, such as `line 12: limits.burst: must be at least 1`. */
export function formatSettingsError(error: SettingsError): string {
  const path = error.path === '' ? '' : ` ${error.path}:`;
  return `line ${error.line}:${path} ${error.message}`;
}
