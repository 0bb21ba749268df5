import * as errors from '@limpettack/errors';
import * as lifetime from '@limpettack/lifetime';
import * as trueMyth from 'true-myth';
import type { Caller, ConfigurationState, ConfigurationView, Route } from './Types.js';
import * as applyChange from './applyChange.js';
import * as keyDigest from './keyDigest.js';

/** The configuration in force, without the ways in which it is learned. */
export class ConfigurationStore implements ConfigurationView, lifetime.Disposable {
  private state = applyChange.emptyState();

  private ready = false;

  private readonly changeEmitter = new lifetime.Emitter<ConfigurationState>();

  private readonly withdrawalEmitter = new lifetime.Emitter<string>();

  public readonly onChange = this.changeEmitter.event;

  public readonly onKeyWithdrawn = this.withdrawalEmitter.event;

  /** @inheritdoc */
  public current(): ConfigurationState {
    return this.state;
  }

  /** @inheritdoc */
  public isReady(): boolean {
    return this.ready;
  }

  /** Notes that the configuration is as new as can be known. */
  public markReady(): void {
    this.ready = true;
  }

  /** Puts a later state into force. An earlier or equal version changes nothing. */
  public take(next: ConfigurationState): boolean {
    if (next.version <= this.state.version) return false;
    const withdrawn = [...this.state.keys.keys()].filter((digest) => !next.keys.has(digest));
    this.state = next;
    withdrawn.forEach((digest) => this.withdrawalEmitter.fire(digest));
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
    this.withdrawalEmitter.dispose();
  }
}
