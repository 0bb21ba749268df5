import type * as http from 'node:http';

import type * as clock from '@limpettack/clock';

import * as messages from './httpMessages.js';
import type { JournalEntry, Outcome } from './Types.js';

/** Limits of a journal. */
export interface JournalLimits {
  /** Entries that are kept. */
  readonly journalEntries: number;
  /** Characters of each body that are kept. */
  readonly journalBodyCharacters: number;
}

type OpenEntry = { -readonly [Field in keyof JournalEntry]: JournalEntry[Field] };

/** Records what a target was sent, in the order of arrival. */
export class CallJournal {
  private readonly kept: OpenEntry[] = [];

  private sequence = 0;

  public constructor(
    private readonly time: clock.Clock,
    private readonly limits: JournalLimits,
  ) {}

  /** Entries after a sequence whose path starts with a prefix. */
  public entries(after = 0, pathPrefix = ''): readonly JournalEntry[] {
    return this.kept.filter((entry) => entry.sequence > after && entry.path.startsWith(pathPrefix));
  }

  /** Adds what has arrived. Call the result when its outcome is known. */
  public begin(request: http.IncomingMessage, body: string): (outcome: Outcome) => void {
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
    this.kept.push(entry);
    if (this.kept.length > this.limits.journalEntries) this.kept.shift();
    return (outcome) => {
      entry.finishedAtMs = this.time.now();
      entry.outcome = outcome;
    };
  }
}
