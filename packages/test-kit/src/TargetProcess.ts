import type * as lifetime from '@limpettack/lifetime';
import type * as standIns from '@limpettack/stand-ins';

import * as adminClient from './AdminClient.js';
import type * as runningProcess from './RunningProcess.js';
import * as starting from './startProcess.js';

/** Kinds of target. */
export const TARGET_KINDS = { ENGINE: 'engine', SERVICE: 'service' } as const;

/** A kind of target. */
export type TargetKind = (typeof TARGET_KINDS)[keyof typeof TARGET_KINDS];

/** Number of executions of a service: all of them, and those with each idempotency key. */
export interface ExecutionCounts {
  readonly total: number;
  readonly byKey: Readonly<Record<string, number>>;
}

/** A target stand-in that runs as a child process. */
export class TargetProcess implements lifetime.Disposable {
  private readonly admin: adminClient.AdminClient;

  private readonly direct: adminClient.AdminClient;

  public constructor(public readonly process: runningProcess.RunningProcess) {
    this.admin = new adminClient.AdminClient(`http://${process.field('admin')}`);
    this.direct = new adminClient.AdminClient(process.url);
  }

  /** The address on which the target listens, as `host:port`. */
  public get address(): string {
    return this.process.address;
  }

  /** Changes the given faults and leaves the others unchanged. */
  public async setFaults(changes: standIns.TargetFaultChanges): Promise<void> {
    await this.admin.send('POST', '/admin/faults', changes);
  }

  /** Returns the requests that the target received on paths with a prefix, in order. */
  public async journal(pathPrefix = ''): Promise<readonly standIns.JournalEntry[]> {
    const path = `/admin/journal?pathPrefix=${encodeURIComponent(pathPrefix)}`;
    const response = (await this.admin.send('GET', path)) as { entries: standIns.JournalEntry[] };
    return response.entries;
  }

  /** Returns the number of executions of a service, in total and by idempotency key. */
  public async executions(): Promise<ExecutionCounts> {
    return (await this.admin.send('GET', '/admin/executions')) as ExecutionCounts;
  }

  /** Returns the tokens that an engine generated for each program in calls that have ended. */
  public async generated(): Promise<Readonly<Record<string, number>>> {
    const response = await this.admin.send('GET', '/admin/generated');
    return (response as { byProgram: Record<string, number> }).byProgram;
  }

  /** Returns the ids of the programs for which an engine holds memory. */
  public async sessions(): Promise<readonly string[]> {
    const response = await this.direct.send('GET', '/v1/sessions');
    return (response as { sessions: { program: string }[] }).sessions.map(({ program }) => program);
  }

  /** @inheritdoc */
  public dispose(): Promise<void> {
    return this.process.dispose();
  }
}

/** Starts a target stand-in with command-line options such as `decode-ms-per-token`. */
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
