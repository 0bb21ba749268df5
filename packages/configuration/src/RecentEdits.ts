import type { FoldResult, StreamRecord } from './Types.js';
import * as foldOutcomes from './FoldOutcomes.js';

/** Number of edits that are kept to be sent to peers. */
const MAXIMUM_EDITS = 256;

/** An edit and the version that it created. */
interface VersionedEdit {
  readonly version: number;
  readonly entry: StreamRecord;
}

/** The latest edits that took effect, so that peers slightly behind do not need a snapshot. */
export class RecentEdits {
  private edits: VersionedEdit[] = [];

  /** Adds a record that was applied, with the version after it. */
  public add(entry: StreamRecord, result: FoldResult, version: number): void {
    if (result.outcome === foldOutcomes.FOLD_OUTCOMES.ADOPTED) this.edits = [];
    if (result.outcome !== foldOutcomes.FOLD_OUTCOMES.APPLIED) return;
    this.edits = [...this.edits, { version, entry }].slice(-MAXIMUM_EDITS);
  }

  /** Returns all edits after a version; undefined when some of them are no longer kept. */
  public after(version: number, current: number): readonly StreamRecord[] | undefined {
    const later = this.edits.filter((edit) => edit.version > version);
    if (later.length !== current - version) return undefined;
    return later.map((edit) => edit.entry);
  }
}
