import type { FoldResult, StreamRecord } from './Types.js';
import * as foldOutcomes from './FoldOutcomes.js';

/** How many edits are kept to be passed on to peers. */
const MAXIMUM_EDITS = 256;

interface VersionedEdit {
  readonly version: number;
  readonly entry: StreamRecord;
}

/** The latest edits that took effect, so that a peer a little behind need not get the whole state. */
export class RecentEdits {
  private edits: VersionedEdit[] = [];

  /** Notes a record that was applied, and the version in force after it. */
  public note(entry: StreamRecord, result: FoldResult, version: number): void {
    if (result.outcome === foldOutcomes.FOLD_OUTCOMES.ADOPTED) this.edits = [];
    if (result.outcome !== foldOutcomes.FOLD_OUTCOMES.APPLIED) return;
    this.edits = [...this.edits, { version, entry }].slice(-MAXIMUM_EDITS);
  }

  /** All edits after a version; nothing when some of them are no longer kept. */
  public after(version: number, current: number): readonly StreamRecord[] | undefined {
    const later = this.edits.filter((edit) => edit.version > version);
    if (later.length !== current - version) return undefined;
    return later.map((edit) => edit.entry);
  }
}
