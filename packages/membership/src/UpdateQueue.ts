import type { MemberUpdate } from './messages.js';

/** An update is sent this many times for each doubling of the fleet size. */
const TRANSMISSIONS_PER_DOUBLING = 3;

/** Changed members whose updates must be sent. Each is sent O(log(fleet size)) times. */
export class UpdateQueue {
  private readonly sentCounts = new Map<string, number>();

  /** Records that a member's record has changed. */
  public add(name: string): void {
    this.sentCounts.set(name, 0);
  }

  /** Returns the members to include in the next message, those sent least often first. */
  public take(count: number, fleetSize: number): readonly string[] {
    const names = [...this.sentCounts.entries()]
      .sort(([, left], [, right]) => left - right)
      .slice(0, count)
      .map(([name]) => name);
    names.forEach((name) => this.countTransmission(name, fleetSize));
    return names;
  }

  private countTransmission(name: string, fleetSize: number): void {
    const limit = TRANSMISSIONS_PER_DOUBLING * Math.ceil(Math.log2(fleetSize + 2));
    const sent = (this.sentCounts.get(name) ?? 0) + 1;
    if (sent >= limit) this.sentCounts.delete(name);
    else this.sentCounts.set(name, sent);
  }
}

/** Selects records in round-robin order, so that a new process learns all members over time. */
export function selectRoundRobin(
  records: readonly MemberUpdate[],
  start: number,
  count: number,
): readonly MemberUpdate[] {
  const length = Math.min(count, records.length);
  return Array.from({ length }, (unused, index) => records[(start + index) % records.length]!);
}
