import type * as http from 'node:http';

import type * as clock from '@limpettack/clock';

import * as messages from './httpMessages.js';
import type { JournalEntry, Outcome } from './Types.js';

/** Limits of a journal. */
export interface JournalLimits {
  /** Entries of calls that are kept. */
  readonly journalEntries: number;
  /** Characters of each body that are kept. */
  readonly journalBodyCharacters: number;
}

/** Entries that are kept of requests for state, so that they never displace those of calls. */
const KEPT_QUERIES = 10_000;

type OpenEntry = { -readonly [Field in keyof JournalEntry]: JournalEntry[Field] };

/** Records what a target was sent, in the order of arrival. */
export class CallJournal {
  private readonly calls: OpenEntry[] = [];

  private readonly queries: OpenEntry[] = [];

  private sequence = 0;

  public constructor(
    private readonly time: clock.Clock,
    private readonly limits: JournalLimits,
  ) {}

  /** Entries after a sequence whose path starts with a prefix. */
  public entries(after = 0, pathPrefix = ''): readonly JournalEntry[] {
    return [...this.calls, ...this.queries]
      .filter((entry) => entry.sequence > after && entry.path.startsWith(pathPrefix))
      .sort((left, right) => left.sequence - right.sequence);
  }

  /** Adds what has arrived. Call the result when its outcome is known. */
  public begin(
    request: http.IncomingMessage,
    body: string,
    isCall: boolean,
  ): (outcome: Outcome) => void {
    this.sequence += 1;
    const entry: OpenEntry = {
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
    const kept = isCall ? this.calls : this.queries;
    kept.push(entry);
    if (kept.length > (isCall ? this.limits.journalEntries : KEPT_QUERIES)) kept.shift();
    return (outcome) => {
      entry.finishedAtMs = this.time.now();
      entry.outcome = outcome;
    };
  }
}
