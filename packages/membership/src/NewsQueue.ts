import type { MemberNews } from './messages.js';

const TRANSMISSIONS_PER_DOUBLING = 3;

/** Changes still to be passed on. Each is sent a number of times that grows with log(fleet). */
export class NewsQueue {
  private readonly sentCounts = new Map<string, number>();

  /** Notes that a member's record has changed. */
  public add(name: string): void {
    this.sentCounts.set(name, 0);
  }

  /** Takes the names to tell of in the next message, those told least often first. */
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

/** Fills a message up with records taken in turn, so that a newcomer learns of all members. */
export function takeInTurn(
  records: readonly MemberNews[],
  start: number,
  count: number,
): readonly MemberNews[] {
  const length = Math.min(count, records.length);
  return Array.from({ length }, (unused, index) => records[(start + index) % records.length]!);
}
