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

/** A request on its way through a target. */
export interface TargetExchange {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly url: URL;
  readonly body: string;
  /** Aborts when the connection or the answer has ended. */
  readonly closed: AbortSignal;
}

/** What a kind of target does with its requests. */
export interface TargetBehaviour {
  /** Whether a request is work, so that the faults of calls hold for it. */
  isCall(exchange: TargetExchange): boolean;
  /** Answers a request; resolves when the work has ended. */
  handle(exchange: TargetExchange): Promise<Outcome>;
  /** Answers a request for state at a path below `/admin/`; undefined when there is none. */
  describe(path: string): unknown;
  /** Forgets all state, as a process that starts again. */
  reset(): void;
}

/** Settings of the listeners and the journal. */
export interface TargetHostSettings extends callJournal.JournalLimits {
  readonly host: string;
  readonly port: number;
  readonly adminPort: number;
}

/** The listeners, the journal and the faults that all kinds of target share. */
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
    /** Called for a call that crashes the target; without it all state is lost, in process. */
    private readonly onCrash?: () => void,
  ) {
    const listen = (port: number): httpListener.HttpListener =>
      this.store.add(
        new httpListener.HttpListener(settings.host, port, (request, response) =>
          this.handle(request, response),
        ),
      );
    this.listener = listen(settings.port);
    this.adminListener = listen(settings.adminPort);
    this.callJournal = new callJournal.CallJournal(time, settings);
  }

  /** Where the target listens, as `host:port`. */
  public get address(): string {
    return this.listener.address;
  }

  /** Where the target takes requests below `/admin/` whatever its faults, as `host:port`. */
  public get adminAddress(): string {
    return this.adminListener.address;
  }

  /** The faults in force. */
  public get faults(): TargetFaults {
    return this.currentFaults;
  }

  /** Fires when the faults have changed. */
  public get onFaultsChange(): lifetime.Event<TargetFaults> {
    return this.faultsEmitter.event;
  }

  /** Starts to listen. */
  public async start(): Promise<void> {
    await this.adminListener.start();
    await this.listener.start();
  }

  /** Changes the given faults and leaves the others. */
  public async setFaults(changes: TargetFaultChanges): Promise<void> {
    this.currentFaults = schemas.TARGET_FAULTS.parse({ ...this.currentFaults, ...changes });
    this.faultsEmitter.fire(this.currentFaults);
    if (this.currentFaults.refuse) await this.listener.stop();
    else await this.listener.start();
  }

  /** What the target was sent after a sequence, at paths with a prefix. */
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
    const finish = this.callJournal.begin(request, body, this.behaviour.isCall(exchange));
    try {
      finish(await this.runWithFaults(exchange));
    } catch (error) {
      finish(OUTCOMES.DROPPED);
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
    const description = this.behaviour.describe(url.pathname);
    const isKnown = description !== undefined;
    messages.sendJson(
      response,
      isKnown ? 200 : 404,
      isKnown ? description : replies.REFUSALS.NOT_FOUND,
    );
  }
}
