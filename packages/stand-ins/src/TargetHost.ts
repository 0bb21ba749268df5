import type * as http from 'node:http';

import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';

import * as callJournal from './CallJournal.js';
import * as httpListener from './HttpListener.js';
import * as messages from './httpMessages.js';
import * as noFaults from './noFaults.js';
import * as outcomes from './Outcomes.js';
import * as replies from './reply.js';
import * as schemas from './schemas.js';
import type { JournalEntry, Outcome, TargetFaultChanges, TargetFaults } from './Types.js';
import * as untilAborted from './untilAborted.js';

const { OUTCOMES } = outcomes;

/** A request that a target handles, and its response. */
export interface TargetExchange {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly url: URL;
  readonly body: string;
  /** Aborts when the connection is closed or the response has ended. */
  readonly closed: AbortSignal;
}

/** Request handling that is specific to a kind of target. */
export interface TargetBehaviour {
  /** Whether a request is a call, to which the injected faults apply. */
  isCall(exchange: TargetExchange): boolean;
  /** Handles a request. Resolves with the outcome when its work has ended. */
  handle(exchange: TargetExchange): Promise<Outcome>;
  /** State to return for a path below `/admin/`; undefined when the path is unknown. */
  describeState(path: string): unknown;
  /** Discards all in-memory state, like a restart of the process. */
  reset(): void;
}

/** Settings of the listeners and the journal. */
export interface TargetHostSettings extends callJournal.JournalLimits {
  readonly host: string;
  readonly port: number;
  readonly adminPort: number;
}

/** Listeners, request journal and injected faults, shared by all kinds of target. */
export class TargetHost implements lifetime.Disposable {
  private readonly store = new lifetime.DisposableStore();

  private readonly listener: httpListener.HttpListener;

  private readonly adminListener: httpListener.HttpListener;

  private readonly callJournal: callJournal.CallJournal;

  private readonly faultsEmitter = this.store.add(new lifetime.Emitter<TargetFaults>());

  private currentFaults = noFaults.NO_TARGET_FAULTS;

  public constructor(
    private readonly time: clock.Clock,
    settings: TargetHostSettings,
    private readonly behaviour: TargetBehaviour,
    /** Called when a call crashes the target; when omitted, only the state is reset. */
    private readonly onCrash?: () => void,
  ) {
    const createListener = (port: number): httpListener.HttpListener =>
      this.store.add(
        new httpListener.HttpListener(settings.host, port, (request, response) =>
          this.handle(request, response),
        ),
      );
    this.listener = createListener(settings.port);
    this.adminListener = createListener(settings.adminPort);
    this.callJournal = new callJournal.CallJournal(time, settings);
  }

  /** Address on which the target listens, as `host:port`. */
  public get address(): string {
    return this.listener.address;
  }

  /** Address that serves `/admin/` regardless of the injected faults, as `host:port`. */
  public get adminAddress(): string {
    return this.adminListener.address;
  }

  /** The current faults. */
  public get faults(): TargetFaults {
    return this.currentFaults;
  }

  /** Fires with the current faults after each change. */
  public get onFaultsChange(): lifetime.Event<TargetFaults> {
    return this.faultsEmitter.event;
  }

  /** Starts both listeners. */
  public async start(): Promise<void> {
    await this.adminListener.start();
    await this.listener.start();
  }

  /** Updates the given faults and leaves the others unchanged. Throws when a value is invalid. */
  public async setFaults(changes: TargetFaultChanges): Promise<void> {
    this.currentFaults = schemas.TARGET_FAULTS.parse({ ...this.currentFaults, ...changes });
    this.faultsEmitter.fire(this.currentFaults);
    if (this.currentFaults.refuse) await this.listener.stop();
    else await this.listener.start();
  }

  /** Journal entries with a sequence above `after` whose path starts with the prefix. */
  public journal(after = 0, pathPrefix = ''): readonly JournalEntry[] {
    return this.callJournal.entries(after, pathPrefix);
  }

  /** @inheritdoc */
  public dispose(): Promise<void> {
    return this.store.dispose();
  }

  private async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const closed = new AbortController();
    response.once('close', () => closed.abort());
    const url = messages.parseUrl(request);
    const body = await messages.readBody(request);
    const exchange = { request, response, url, body, closed: closed.signal };
    if (url.pathname.startsWith('/admin/')) {
      await this.handleAdmin(exchange);
      return;
    }
    const recordOutcome = this.callJournal.begin(request, body, this.behaviour.isCall(exchange));
    try {
      recordOutcome(await this.runWithFaults(exchange));
    } catch (error) {
      recordOutcome(OUTCOMES.DROPPED);
      throw error;
    }
  }

  private async runWithFaults(exchange: TargetExchange): Promise<Outcome> {
    if (!this.behaviour.isCall(exchange)) return this.behaviour.handle(exchange);
    await this.time.sleep(this.faults.delayMs, exchange.closed);
    const { crashOnText, hang, status } = this.faults;
    if (crashOnText !== null && exchange.body.includes(crashOnText)) {
      this.crash();
      return OUTCOMES.CRASHED;
    }
    if (hang) {
      await untilAborted.untilAborted(exchange.closed);
      return OUTCOMES.DROPPED;
    }
    if (status !== null) {
      messages.sendJson(exchange.response, status, replies.REFUSALS.FAULT);
      return OUTCOMES.REFUSED;
    }
    return this.behaviour.handle(exchange);
  }

  private crash(): void {
    this.onCrash?.();
    this.behaviour.reset();
    this.listener.destroyConnections();
  }

  private async handleAdmin(exchange: TargetExchange): Promise<void> {
    const { request, response, url, body } = exchange;
    if (request.method === 'POST' && url.pathname === '/admin/faults') {
      const changes = messages.parseJson(schemas.TARGET_FAULT_CHANGES, body);
      if (changes !== undefined) await this.setFaults(changes);
      messages.sendJson(response, changes === undefined ? 400 : 200, this.faults);
      return;
    }
    if (url.pathname === '/admin/journal') {
      const query = schemas.JOURNAL_QUERY.safeParse(Object.fromEntries(url.searchParams)).data;
      const entries = query && this.journal(query.after, query.pathPrefix);
      messages.sendJson(
        response,
        entries ? 200 : 400,
        entries ? { entries } : replies.REFUSALS.INVALID,
      );
      return;
    }
    const description = this.behaviour.describeState(url.pathname);
    const isKnown = description !== undefined;
    messages.sendJson(
      response,
      isKnown ? 200 : 404,
      isKnown ? description : replies.REFUSALS.NOT_FOUND,
    );
  }
}
