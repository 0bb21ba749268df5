import type * as lifetime from '@limpettack/lifetime';
import type * as standIns from '@limpettack/stand-ins';

import * as adminClient from './AdminClient.js';
import type * as runningProcess from './RunningProcess.js';
import * as starting from './startProcess.js';

/** Kinds of target. */
export const TARGET_KINDS = { ENGINE: 'engine', SERVICE: 'service' } as const;

/** A kind of target. */
export type TargetKind = (typeof TARGET_KINDS)[keyof typeof TARGET_KINDS];

/** Executions of a plain service. */
export interface ExecutionCounts {
  readonly total: number;
  readonly byKey: Readonly<Record<string, number>>;
}

/** A target stand-in as a process. */
export class TargetProcess implements lifetime.Disposable {
  private readonly admin: adminClient.AdminClient;

  private readonly direct: adminClient.AdminClient;

  public constructor(public readonly process: runningProcess.RunningProcess) {
    this.admin = new adminClient.AdminClient(`http://${process.field('admin')}`);
    this.direct = new adminClient.AdminClient(process.url);
  }

  /** Where the target listens, as `host:port`. */
  public get address(): string {
    return this.process.address;
  }

  /** Changes the given faults and leaves the others. */
  public async setFaults(changes: standIns.TargetFaultChanges): Promise<void> {
    await this.admin.send('POST', '/admin/faults', changes);
  }

  /** What the target was sent at paths with a prefix, in order. */
  public async journal(pathPrefix = ''): Promise<readonly standIns.JournalEntry[]> {
    const path = `/admin/journal?pathPrefix=${encodeURIComponent(pathPrefix)}`;
    const answer = (await this.admin.send('GET', path)) as { entries: standIns.JournalEntry[] };
    return answer.entries;
  }

  /** Executions of a plain service, in all and for each idempotency key. */
  public async executions(): Promise<ExecutionCounts> {
    return (await this.admin.send('GET', '/admin/executions')) as ExecutionCounts;
  }

  /** Tokens that an engine has generated for each program, by calls that have ended. */
  public async generated(): Promise<Readonly<Record<string, number>>> {
    const answer = await this.admin.send('GET', '/admin/generated');
    return (answer as { byProgram: Record<string, number> }).byProgram;
  }

  /** Programs for which an engine holds memory. */
  public async sessions(): Promise<readonly string[]> {
    const answer = await this.direct.send('GET', '/v1/sessions');
    return (answer as { sessions: { program: string }[] }).sessions.map(({ program }) => program);
  }

  /** @inheritdoc */
  public dispose(): Promise<void> {
    return this.process.dispose();
  }
}

/** Starts a target stand-in with options of its command line, such as `decode-ms-per-token`. */
export async function startTarget(
  kind: TargetKind,
  options: starting.CommandLineOptions = {},
): Promise<TargetProcess> {
  const running = await starting.startProcess({
    packageName: 'stand-ins',
    main: 'targetMain.js',
    arguments: [kind, ...starting.commandLine(options)],
    name: kind,
  });
  return new TargetProcess(running);
}
