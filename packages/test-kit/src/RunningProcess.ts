import type * as childProcess from 'node:child_process';
import * as readline from 'node:readline';

import type * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';

import * as openChildren from './openChildren.js';
import * as waitFor from './waitFor.js';

const KEPT_CHARACTERS = 200_000;

/** How a process has ended. */
export interface ProcessExit {
  /** Null when a signal ended it. */
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

type Child = childProcess.ChildProcessByStdio<
  null,
  NonNullable<childProcess.ChildProcess['stdout']>,
  NonNullable<childProcess.ChildProcess['stderr']>
>;

/** A child process. On disposal it is killed, also when it is paused. */
export class RunningProcess implements lifetime.Disposable {
  /** Resolves when the process has ended. */
  public readonly exited: Promise<ProcessExit>;

  private exit: ProcessExit | undefined;

  private listeningLine: Readonly<Record<string, string>> | undefined;

  private captured = '';

  public constructor(
    private readonly child: Child,
    public readonly name: string,
  ) {
    [child.stdout, child.stderr].forEach((output) => {
      readline.createInterface({ input: output }).on('line', (line) => this.takeLine(line));
    });
    this.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        this.exit = { code, signal };
        resolve(this.exit);
      });
    });
    // A child of the test must not outlive it, however the test ends.
    openChildren.addChild(this.killNow);
  }

  /** The process id. */
  public get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Whether the process has not ended. */
  public get isRunning(): boolean {
    return this.exit === undefined;
  }

  /** The latest output, both streams. */
  public get output(): string {
    return this.captured;
  }

  /** Where the process listens, as `host:port`. */
  public get address(): string {
    return this.field('listening');
  }

  /** The URL where the process listens. */
  public get url(): string {
    return `http://${this.address}`;
  }

  /** A field of the listening line. Throws when there is none. */
  public field(name: string): string {
    const value = this.listeningLine?.[name];
    if (value === undefined) throw new Error(`${this.name} has not said its ${name}`);
    return value;
  }

  /** Resolves when the process has said where it listens. */
  public async untilListening(timeoutMs: clock.Milliseconds): Promise<void> {
    const what = `${this.name} to listen`;
    await waitFor.waitFor(() => !this.isRunning || this.listeningLine !== undefined, {
      what,
      timeoutMs,
    });
    if (this.listeningLine !== undefined) return;
    throw new Error(`${this.name} ended before it listened:\n${this.captured}`);
  }

  /** Sends a signal. */
  public kill(signal: NodeJS.Signals = 'SIGKILL'): void {
    if (this.isRunning) this.child.kill(signal);
  }

  /** Stops the process where it is. */
  public pause(): void {
    this.kill('SIGSTOP');
  }

  /** Lets a paused process go on. */
  public resume(): void {
    this.kill('SIGCONT');
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    this.killNow();
    openChildren.removeChild(this.killNow);
    await this.exited;
  }

  private readonly killNow = (): void => this.kill('SIGKILL');

  private takeLine(line: string): void {
    this.captured = `${this.captured}${line}\n`.slice(-KEPT_CHARACTERS);
    if (this.listeningLine !== undefined || !line.startsWith('{"listening"')) return;
    this.listeningLine = JSON.parse(line) as Readonly<Record<string, string>>;
  }
}
