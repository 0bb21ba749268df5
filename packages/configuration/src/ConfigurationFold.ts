import type {
  ConfigurationEdit,
  ConfigurationSnapshot,
  ConfigurationState,
  FoldResult,
  StreamRecord,
} from './Types.js';
import * as applyChange from './applyChange.js';
import * as foldOutcomes from './FoldOutcomes.js';
import * as schemas from './schemas.js';

const { FOLD_OUTCOMES } = foldOutcomes;

/** Number of edit ids that are kept to detect repeats. All readers must use the same number. */
const MAXIMUM_EDIT_IDS = 1_000;

/**
 * Computes the configuration from the stream's records. An edit takes effect if and only if it is
 * based on the version that is current at its offset, its id is new and the result passes the
 * checks. A snapshot contains the state before an offset. It changes nothing for a reader that has
 * read up to that offset, and brings other readers to it.
 */
export class ConfigurationFold {
  private current = applyChange.emptyState();

  private editIds: string[] = [];

  /** The next offset to read. */
  private next = 0;

  /** Records read after a gap, kept until a snapshot closes it; undefined when there is no gap. */
  private waiting: StreamRecord[] | undefined;

  /** The first offset after the gap. */
  private firstOffsetAfterGap = 0;

  /** The configuration after the records applied so far. */
  public get state(): ConfigurationState {
    return this.current;
  }

  /** The offset of the next record to read. */
  public get nextOffset(): number {
    return this.next;
  }

  /** Whether records are missing that no snapshot has replaced. */
  public get hasGap(): boolean {
    return this.waiting !== undefined;
  }

  /** Whether an edit with this id has taken effect. Only the latest ids are kept. */
  public hasApplied(editId: string): boolean {
    return this.editIds.includes(editId);
  }

  /** Skips the records before an offset, which can no longer be read. */
  public skipTo(offset: number): void {
    if (offset <= this.next) return;
    this.waiting = [];
    this.firstOffsetAfterGap = offset;
    this.next = offset;
  }

  /** Applies a record. A record below the next offset is ignored, unless it is a newer snapshot. */
  public apply(entry: StreamRecord): FoldResult {
    if (entry.record.kind === schemas.RECORD_KINDS.SNAPSHOT && this.isAhead(entry.record)) {
      return this.adoptSnapshot(entry, entry.record);
    }
    if (entry.offset < this.next) return { outcome: FOLD_OUTCOMES.IGNORED };
    this.next = entry.offset + 1;
    if (this.waiting) {
      this.waiting.push(entry);
      return { outcome: FOLD_OUTCOMES.WAITING };
    }
    return this.applyNext(entry);
  }

  /** Skips records up to an offset that are known to have no effect. */
  public advanceTo(offset: number): void {
    this.next = Math.max(this.next, offset);
  }

  /** Returns the state as a record that brings another reader to the next offset. */
  public snapshot(): ConfigurationSnapshot {
    return {
      kind: schemas.RECORD_KINDS.SNAPSHOT,
      version: this.current.version,
      asOf: this.next,
      tables: {
        routes: [...this.current.routes.values()],
        pools: [...this.current.pools.values()],
        workspaces: [...this.current.workspaces.values()],
      },
      keys: [...this.current.keys.values()],
      withdrawn: [...this.current.withdrawn],
      editIds: [...this.editIds],
    };
  }

  private isAhead(snapshot: ConfigurationSnapshot): boolean {
    // All readers share one history, so a later state with an earlier version must be an error.
    if (snapshot.version < this.current.version) return false;
    return this.waiting ? snapshot.asOf >= this.firstOffsetAfterGap : snapshot.asOf > this.next;
  }

  private applyNext(entry: StreamRecord): FoldResult {
    if (entry.record.kind !== schemas.RECORD_KINDS.EDIT) return { outcome: FOLD_OUTCOMES.IGNORED };
    return this.applyEdit(entry.record);
  }

  private applyEdit(edit: ConfigurationEdit): FoldResult {
    if (this.hasApplied(edit.id)) return { outcome: FOLD_OUTCOMES.REPEATED };
    if (edit.basedOn !== this.current.version) return { outcome: FOLD_OUTCOMES.CONFLICT };
    const result = applyChange.applyChange(this.current, edit.change);
    if (result.isErr) return { outcome: FOLD_OUTCOMES.INVALID, problems: result.error };
    this.current = result.value;
    this.editIds = [...this.editIds, edit.id].slice(-MAXIMUM_EDIT_IDS);
    return { outcome: FOLD_OUTCOMES.APPLIED };
  }

  private adoptSnapshot(entry: StreamRecord, snapshot: ConfigurationSnapshot): FoldResult {
    const later = (this.waiting ?? []).filter((waiting) => waiting.offset >= snapshot.asOf);
    this.waiting = undefined;
    this.current = stateOf(snapshot);
    this.editIds = [...snapshot.editIds];
    this.next = Math.max(this.next, snapshot.asOf, entry.offset + 1);
    // Edits between `asOf` and the snapshot record itself are not part of the snapshot's state.
    later.forEach((waiting) => this.applyNext(waiting));
    return { outcome: FOLD_OUTCOMES.ADOPTED };
  }
}

function stateOf(snapshot: ConfigurationSnapshot): ConfigurationState {
  return {
    version: snapshot.version,
    routes: applyChange.byName(snapshot.tables.routes),
    pools: applyChange.byName(snapshot.tables.pools),
    workspaces: applyChange.byName(snapshot.tables.workspaces),
    keys: new Map(snapshot.keys.map((key) => [key.digest, key])),
    withdrawn: new Set(snapshot.withdrawn),
  };
}
