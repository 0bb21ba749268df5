import type * as http from 'node:http';

import type * as clock from '@limpettack/clock';

import * as messages from './httpMessages.js';
import type { JournalEntry, Outcome } from './Types.js';

/** Limits of a journal. */
export interface JournalLimits {
  /** Maximum number of retained entries of calls. */
  readonly journalEntries: number;
  /** Maximum number of characters recorded of each body. */
  readonly journalBodyCharacters: number;
}

/** Maximum number of retained entries of state requests. They never displace entries of calls. */
const MAXIMUM_QUERY_ENTRIES = 10_000;

type MutableEntry = { -readonly [Field in keyof JournalEntry]: JournalEntry[Field] };

/** Records the requests of a target in the order of arrival. */
export class CallJournal {
  private readonly calls: MutableEntry[] = [];

  private readonly queries: MutableEntry[] = [];

  private sequence = 0;

  public constructor(
    private readonly time: clock.Clock,
    private readonly limits: JournalLimits,
  ) {}

  /** Entries with a sequence above `after` whose path starts with the prefix. */
  public entries(after = 0, pathPrefix = ''): readonly JournalEntry[] {
    return [...this.calls, ...this.queries]
      .filter((entry) => entry.sequence > after && entry.path.startsWith(pathPrefix))
      .sort((left, right) => left.sequence - right.sequence);
  }

  /** Adds an entry for a request. Returns a function that records the outcome. */
  public begin(
    request: http.IncomingMessage,
    body: string,
    isCall: boolean,
  ): (outcome: Outcome) => void {
    this.sequence += 1;
    const entry: MutableEntry = {
      sequence: this.sequence,
      callId: messages.headerOf(request, 'limpettack-call'),
      program: messages.headerOf(request, 'limpettack-program'),
      workspaceField: messages.headerOf(request, 'limpettack-workspace'),
      method: request.method ?? '',
      path: request.url ?? '',
      headers: request.headers,
      body: body.slice(0, this.limits.journalBodyCharacters),
      startedAtMs: this.time.now(),
      finishedAtMs: undefined,
      outcome: undefined,
    };
    const entryList = isCall ? this.calls : this.queries;
    entryList.push(entry);
    if (entryList.length > (isCall ? this.limits.journalEntries : MAXIMUM_QUERY_ENTRIES))
      entryList.shift();
    return (outcome) => {
      entry.finishedAtMs = this.time.now();
      entry.outcome = outcome;
    };
  }
}
