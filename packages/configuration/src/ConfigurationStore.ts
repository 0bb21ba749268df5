import * as errors from '@limpettack/errors';
import * as lifetime from '@limpettack/lifetime';
import * as trueMyth from 'true-myth';
import type { Caller, ConfigurationState, ConfigurationView, Route } from './Types.js';
import * as applyChange from './applyChange.js';
import * as keyDigest from './keyDigest.js';

/** Holds the current configuration, wherever it was received from. */
export class ConfigurationStore implements ConfigurationView, lifetime.Disposable {
  private state = applyChange.emptyState();

  private ready = false;

  private readonly changeEmitter = new lifetime.Emitter<ConfigurationState>();

  private readonly keyWithdrawnEmitter = new lifetime.Emitter<string>();

  public readonly onChange = this.changeEmitter.event;

  public readonly onKeyWithdrawn = this.keyWithdrawnEmitter.event;

  /** @inheritdoc */
  public current(): ConfigurationState {
    return this.state;
  }

  /** @inheritdoc */
  public isReady(): boolean {
    return this.ready;
  }

  /** Marks the configuration as ready: no newer version is known to exist. */
  public markReady(): void {
    this.ready = true;
  }

  /** Replaces the state by one of a later version. Returns false if the version is not later. */
  public update(next: ConfigurationState): boolean {
    if (next.version <= this.state.version) return false;
    const withdrawn = [...this.state.keys.keys()].filter((digest) => !next.keys.has(digest));
    this.state = next;
    withdrawn.forEach((digest) => this.keyWithdrawnEmitter.fire(digest));
    this.changeEmitter.fire(next);
    return true;
  }

  /** @inheritdoc */
  public identify(key: string | undefined): trueMyth.Result<Caller, errors.Fault> {
    if (key === undefined) return trueMyth.Result.ok({});
    const digest = keyDigest.keyDigest(key);
    const given = this.state.keys.get(digest);
    if (given) return trueMyth.Result.ok({ workspace: given.workspace, keyDigest: digest });
    if (!this.state.withdrawn.has(digest)) {
      return trueMyth.Result.err(errors.createFault('key-unknown'));
    }
    const run = errors.RUN_STATES.NOT_RUN;
    return trueMyth.Result.err(errors.createFault('key-withdrawn', undefined, { run }));
  }

  /** @inheritdoc */
  public routeFor(caller: Caller, name: string): trueMyth.Result<Route, errors.Fault> {
    const route = this.state.routes.get(name);
    if (!route) return trueMyth.Result.err(errors.createFault('route-unknown'));
    if (route.open) return trueMyth.Result.ok(route);
    if (caller.workspace === undefined) {
      return trueMyth.Result.err(errors.createFault('key-required'));
    }
    if (route.workspaces && !route.workspaces.includes(caller.workspace)) {
      return trueMyth.Result.err(errors.createFault('route-unknown'));
    }
    return trueMyth.Result.ok(route);
  }

  /** @inheritdoc */
  public dispose(): void {
    this.changeEmitter.dispose();
    this.keyWithdrawnEmitter.dispose();
  }
}
