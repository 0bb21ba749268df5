import * as fs from 'node:fs';
import type * as lifetime from '@limpettack/lifetime';

/** Interval at which pending lines are written together, in milliseconds. */
const FLUSH_INTERVAL_MS = 100;

/** Maximum length of the pending text; lines beyond it are dropped and counted. */
const MAXIMUM_BACKLOG_CHARACTERS = 1_000_000;

/** Starts to write a text and calls `onDone` at the end. Injected, so that tests can delay it. */
export type WriteText = (text: string, onDone: () => void) => void;

/** Writes a text to standard output, and retries while the output is blocked. */
export function writeToStandardOutput(text: string, onDone: () => void): void {
  const { fd } = process.stdout;
  const bytes = Buffer.from(text);
  const writeFrom = (offset: number): void => {
    fs.write(fd, bytes, offset, bytes.length - offset, null, (error, written) => {
      const isBlocked = error?.code === 'EAGAIN';
      if (isBlocked) setTimeout(() => writeFrom(offset), FLUSH_INTERVAL_MS);
      else if (error === null && offset + written < bytes.length) writeFrom(offset + written);
      else onDone();
    });
  };
  writeFrom(0);
}

/** Log output that neither blocks the process nor grows without bound when its reader stalls. */
export class BoundedOutput implements lifetime.Disposable {
  private pendingLines: string[] = [];

  private pendingCharacters = 0;

  private droppedLines = 0;

  private isWriting = false;

  private timer: NodeJS.Timeout | undefined;

  public constructor(private readonly writeText: WriteText = writeToStandardOutput) {}

  /** Adds a line to the pending text, or drops it if there is too much pending text. */
  public write(line: string): void {
    if (this.pendingCharacters + line.length > MAXIMUM_BACKLOG_CHARACTERS) {
      this.droppedLines += 1;
      return;
    }
    this.pendingLines.push(line);
    this.pendingCharacters += line.length;
    this.timer ??= setTimeout(() => this.flush(), FLUSH_INTERVAL_MS);
  }

  /** Writes the pending lines synchronously, for use at the end of the process. */
  public flushNow(): void {
    const text = this.takePendingText();
    if (text === '') return;
    try {
      fs.writeSync(process.stdout.fd, text);
    } catch {
      // The output is closed or full, and the process ends, so the failure cannot be reported.
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
    const text = this.takePendingText();
    if (text === '') return;
    this.isWriting = true;
    this.writeText(text, () => {
      this.isWriting = false;
      if (this.pendingLines.length > 0) this.flush();
    });
  }

  private takePendingText(): string {
    const lines = this.pendingLines;
    this.pendingLines = [];
    this.pendingCharacters = 0;
    if (this.droppedLines > 0) {
      lines.push(JSON.stringify({ message: 'log: Lines were dropped.', count: this.droppedLines }));
      this.droppedLines = 0;
    }
    return lines.length === 0 ? '' : `${lines.join('\n')}\n`;
  }
}
