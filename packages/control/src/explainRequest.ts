import * as textTable from './textTable.js';

/** Lines of other parts count as long before the first and after the last line of a request. */
const BEFORE_MS = 2_000;
const AFTER_MS = 1_000;

/** Parts whose lines matter to each request of their VM. */
const GENERAL_PARTS: ReadonlySet<string> = new Set(['log', 'node', 'tables']);

/** Lines beside the request's own that are shown at most, those nearest to its end. */
const MOST_OTHERS = 60;

/** One line of a process's log. */
export interface LogLine {
  /** The VM that wrote it; from the name of the file or the words before the line. */
  readonly vm: string;
  /** Unix milliseconds, by the clock of that VM. */
  readonly time: number;
  readonly message: string;
  readonly part: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** What the logs of the VMs say of a request. */
export interface Explanation {
  readonly request: string;
  /** The lines of the request itself, in the order of their times. */
  readonly own: readonly LogLine[];
  /** Lines on what it rested on: its program, its targets, the VMs it asked, the way to the log. */
  readonly others: readonly LogLine[];
}

/** Reads a line of a log; nothing when it is none. What stands before the JSON may name the VM. */
export function parseLogLine(text: string, vm: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  const prefix = text.slice(0, start).trim().split(/\s+/).at(-1) ?? '';
  try {
    const {
      context = {},
      message = '',
      time = 0,
    } = JSON.parse(text.slice(start)) as {
      readonly context?: Record<string, unknown>;
      readonly message?: string;
      readonly time?: number;
    };
    const { logLevel, part = '', ...fields } = context;
    return { vm: prefix || vm, time, message, part: String(part), fields };
  } catch {
    return undefined;
  }
}

/** Finds the way of a request in the logs of all VMs. */
export function explainRequest(request: string, lines: readonly LogLine[]): Explanation {
  const own = lines.filter(({ fields }) => fields.request === request).sort(byTime);
  const [first] = own;
  const last = own.at(-1);
  if (first === undefined || last === undefined) return { request, own, others: [] };
  const valuesOf = (name: string): ReadonlySet<unknown> =>
    new Set(own.flatMap(({ fields }) => fields[name] ?? []));
  const vms = new Set(own.map(({ vm }) => vm));
  const programs = valuesOf('program');
  const targets = valuesOf('target');
  const peers = valuesOf('peer');
  const from = first.time - spanOf(own) - BEFORE_MS;
  const to = last.time + AFTER_MS;
  const others = lines.filter(({ fields, part, time, vm }) => {
    if (fields.request === request || time < from || time > to) return false;
    if (fields.program !== undefined && programs.has(fields.program)) return true;
    if (part === 'targets' && targets.has(fields.target)) return true;
    if (part === 'membership' && [...peers].some((peer) => mentions(fields, peer))) return true;
    return GENERAL_PARTS.has(part) && (vms.has(vm) || peers.has(vm));
  });
  return { request, own, others: others.sort(byTime).slice(-MOST_OTHERS) };
}

/** An explanation as operators read it. */
export function formatExplanation({ others, own, request }: Explanation): string {
  const [first] = own;
  if (first === undefined) {
    return `No line of the logs names request ${request}. It may have reached no VM of these.`;
  }
  return [
    `Request ${request}, from ${new Date(first.time - spanOf(own)).toISOString()} on:`,
    table(own),
    '',
    others.length === 0 ? 'Nothing else that it rested on was logged.' : 'Beside it:',
    ...(others.length === 0 ? [] : [table(others)]),
  ].join('\n');
}

function table(lines: readonly LogLine[]): string {
  return textTable.textTable([
    ['TIME', 'VM', 'PART', 'WHAT', 'FIELDS'],
    ...lines.map(({ fields, message, part, time, vm }) => [
      new Date(time).toISOString().slice(11, 23),
      vm,
      part,
      message.replace(`${part}: `, ''),
      Object.entries(fields)
        .map(([name, value]) => `${name}=${String(value)}`)
        .join(' '),
    ]),
  ]);
}

/** How long the request took by its last line that tells. */
function spanOf(own: readonly LogLine[]): number {
  return Number(own.findLast(({ fields }) => fields.spanMs !== undefined)?.fields.spanMs ?? 0);
}

function mentions(fields: LogLine['fields'], peer: unknown): boolean {
  return fields.peer === peer || String(fields.reason ?? '').includes(String(peer));
}

function byTime(left: LogLine, right: LogLine): number {
  return left.time - right.time;
}
