import type * as childProcess from 'node:child_process';
import * as readline from 'node:readline';

import type * as clock from '@limpettack/clock';
import type * as lifetime from '@limpettack/lifetime';

import * as openChildren from './openChildren.js';
import * as waitFor from './waitFor.js';

const MAXIMUM_OUTPUT_CHARACTERS = 200_000;

/** Exit status of a process. */
export interface ProcessExit {
  /** Exit code; null if the process was terminated by a signal. */
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

type Child = childProcess.ChildProcessByStdio<
  null,
  NonNullable<childProcess.ChildProcess['stdout']>,
  NonNullable<childProcess.ChildProcess['stderr']>
>;

/** A child process. Disposal kills it, even if it is paused. */
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
      readline.createInterface({ input: output }).on('line', (line) => this.handleLine(line));
    });
    this.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        this.exit = { code, signal };
        resolve(this.exit);
      });
    });
    // The child is killed when the test process exits for any reason.
    openChildren.addChild(this.killNow);
  }

  /** The process id. */
  public get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Whether the process is still running. */
  public get isRunning(): boolean {
    return this.exit === undefined;
  }

  /** The most recent output on stdout and stderr, up to `MAXIMUM_OUTPUT_CHARACTERS`. */
  public get output(): string {
    return this.captured;
  }

  /** The address on which the process listens, as `host:port`. */
  public get address(): string {
    return this.field('listening');
  }

  /** The HTTP URL of the address on which the process listens. */
  public get url(): string {
    return `http://${this.address}`;
  }

  /** Returns a field of the listening line. Throws if the line or the field is missing. */
  public field(name: string): string {
    const value = this.listeningLine?.[name];
    if (value === undefined) throw new Error(`${this.name} has not reported the field ${name}`);
    return value;
  }

  /** Waits for the listening line. Throws if the process ends first or the timeout expires. */
  public async untilListening(timeoutMs: clock.Milliseconds): Promise<void> {
    const what = `${this.name} to listen`;
    await waitFor
      .waitFor(() => !this.isRunning || this.listeningLine !== undefined, { what, timeoutMs })
      .catch((error: unknown) => {
        throw new Error(`${String(error)}; its output:\n${this.captured}`);
      });
    if (this.listeningLine !== undefined) return;
    throw new Error(`${this.name} ended before it listened:\n${this.captured}`);
  }

  /** Sends a signal to the process if it is still running. */
  public kill(signal: NodeJS.Signals = 'SIGKILL'): void {
    if (this.isRunning) this.child.kill(signal);
  }

  /** Suspends the process with SIGSTOP. */
  public pause(): void {
    this.kill('SIGSTOP');
  }

  /** Resumes a paused process with SIGCONT. */
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

  private handleLine(line: string): void {
    this.captured = `${this.captured}${line}\n`.slice(-MAXIMUM_OUTPUT_CHARACTERS);
    if (this.listeningLine !== undefined || !line.startsWith('{"listening"')) return;
    this.listeningLine = JSON.parse(line) as Readonly<Record<string, string>>;
  }
}
