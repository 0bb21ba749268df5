import type * as lifetime from '@limpettack/lifetime';

import type * as faultProxy from './FaultProxy.js';
import type { FleetTargetRow } from './fleetTables.js';
import type * as targetProcess from './TargetProcess.js';

/** A target process of a test fleet and its optional fault proxy. */
export class FleetTarget implements lifetime.Disposable {
  public constructor(
    /** The target's row in the table of pools. */
    public readonly row: FleetTargetRow,
    public readonly target: targetProcess.TargetProcess,
    private readonly targetProxy: faultProxy.FaultProxy | undefined,
  ) {}

  /** The target's name in the tables. */
  public get name(): string {
    return this.row.name;
  }

  /** The proxy between all VMs and the target. Throws if the fleet has no target proxies. */
  public get proxy(): faultProxy.FaultProxy {
    if (this.targetProxy === undefined) throw new Error(`${this.name} has no proxy`);
    return this.targetProxy;
  }

  /** @inheritdoc */
  public async dispose(): Promise<void> {
    await this.targetProxy?.dispose();
    await this.target.dispose();
  }
}
