import * as textTable from './textTable.js';

/** Time before the start and after the end of a request in which related lines are included. */
const CONTEXT_BEFORE_MS = 2_000;
const CONTEXT_AFTER_MS = 1_000;

/** Parts of the process whose lines may concern every request of their VM. */
const VM_WIDE_PARTS: ReadonlySet<string> = new Set(['log', 'node', 'tables']);

/** Maximum number of related lines; the latest ones are shown. */
const MAXIMUM_OTHERS = 60;

/** A line of the log of a VM process. */
export interface LogLine {
  /** The VM that wrote the line, from the prefix of the line or the name of the file. */
  readonly vm: string;
  /** Unix time in milliseconds, by the clock of that VM. */
  readonly time: number;
  readonly message: string;
  /** The part of the process that wrote the line, such as `targets`. */
  readonly part: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** The log lines about a request, from all VMs. */
export interface Explanation {
  readonly request: string;
  /** The lines that name the request, ordered by time. */
  readonly own: readonly LogLine[];
  /** Related lines: about its program, its targets, the VMs it was sent to and the log client. */
  readonly others: readonly LogLine[];
}

/**
 * Parses a log line. Returns undefined when it is none. If there is text before the JSON, its last
 * word is taken as the name of the VM; otherwise `vm` is used.
 */
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

/** Finds the lines of a request, and the lines related to it, in the logs of all VMs. */
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
  const from = first.time - durationOf(own) - CONTEXT_BEFORE_MS;
  const to = last.time + CONTEXT_AFTER_MS;
  const others = lines.filter(({ fields, part, time, vm }) => {
    if (fields.request === request || time < from || time > to) return false;
    if (fields.program !== undefined && programs.has(fields.program)) return true;
    if (part === 'targets' && targets.has(fields.target)) return true;
    if (part === 'membership' && [...peers].some((peer) => mentionsPeer(fields, peer))) return true;
    return VM_WIDE_PARTS.has(part) && (vms.has(vm) || peers.has(vm));
  });
  return { request, own, others: others.sort(byTime).slice(-MAXIMUM_OTHERS) };
}

/** Formats an explanation as text for operators. */
export function formatExplanation({ others, own, request }: Explanation): string {
  const [first] = own;
  if (first === undefined) {
    return `No line of the logs names request ${request}. It may not have reached any of these VMs.`;
  }
  return [
    `Request ${request}, from ${new Date(first.time - durationOf(own)).toISOString()} on:`,
    formatLines(own),
    '',
    others.length === 0 ? 'No related lines were logged.' : 'Related lines:',
    ...(others.length === 0 ? [] : [formatLines(others)]),
  ].join('\n');
}

function formatLines(lines: readonly LogLine[]): string {
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

/** Returns the duration of the request from its last line with a duration, or 0. */
function durationOf(own: readonly LogLine[]): number {
  return Number(own.findLast(({ fields }) => fields.spanMs !== undefined)?.fields.spanMs ?? 0);
}

function mentionsPeer(fields: LogLine['fields'], peer: unknown): boolean {
  return fields.peer === peer || String(fields.reason ?? '').includes(String(peer));
}

function byTime(left: LogLine, right: LogLine): number {
  return left.time - right.time;
}
