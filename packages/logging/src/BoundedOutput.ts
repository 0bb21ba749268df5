import * as fs from 'node:fs';
import type * as lifetime from '@limpettack/lifetime';

/** Lines are written together this often, in milliseconds. */
const FLUSH_INTERVAL_MS = 100;

/** Text that may wait to be written; what comes beyond that is dropped and counted. */
const LARGEST_BACKLOG_CHARACTERS = 1_000_000;

/** Writes a text to a file descriptor without waiting. Passed in, so that tests can hold it up. */
export type WriteText = (text: string, onDone: () => void) => void;

/** Writes to standard output. */
export function writeToStandardOutput(text: string, onDone: () => void): void {
  const { fd } = process.stdout;
  const bytes = Buffer.from(text);
  const writeFrom = (offset: number): void => {
    fs.write(fd, bytes, offset, bytes.length - offset, null, (error, written) => {
      const isBusy = error?.code === 'EAGAIN';
      if (isBusy) setTimeout(() => writeFrom(offset), FLUSH_INTERVAL_MS);
      else if (error === null && offset + written < bytes.length) writeFrom(offset + written);
      else onDone();
    });
  };
  writeFrom(0);
}

/** Log output that neither blocks the process nor grows without bound when nobody reads it. */
export class BoundedOutput implements lifetime.Disposable {
  private waiting: string[] = [];

  private waitingCharacters = 0;

  private dropped = 0;

  private isWriting = false;

  private timer: NodeJS.Timeout | undefined;

  public constructor(private readonly writeText: WriteText = writeToStandardOutput) {}

  /** Takes a line. */
  public write(line: string): void {
    if (this.waitingCharacters + line.length > LARGEST_BACKLOG_CHARACTERS) {
      this.dropped += 1;
      return;
    }
    this.waiting.push(line);
    this.waitingCharacters += line.length;
    this.timer ??= setTimeout(() => this.flush(), FLUSH_INTERVAL_MS);
  }

  /** Writes what waits at once, for the end of the process. */
  public flushNow(): void {
    const text = this.takeText();
    if (text === '') return;
    try {
      fs.writeSync(process.stdout.fd, text);
    } catch {
      // The output is closed or full, and the process ends: there is nobody left to tell.
    }
  }

  /** @inheritdoc */
  public dispose(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }

  private flush(): void {
    this.timer = undefined;
    if (this.isWriting) return;
    const text = this.takeText();
    if (text === '') return;
    this.isWriting = true;
    this.writeText(text, () => {
      this.isWriting = false;
      if (this.waiting.length > 0) this.flush();
    });
  }

  private takeText(): string {
    const lines = this.waiting;
    this.waiting = [];
    this.waitingCharacters = 0;
    if (this.dropped > 0) {
      lines.push(JSON.stringify({ message: 'log: Lines were dropped.', count: this.dropped }));
      this.dropped = 0;
    }
    return lines.length === 0 ? '' : `${lines.join('\n')}\n`;
  }
}
