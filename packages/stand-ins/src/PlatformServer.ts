import type * as http from 'node:http';

import type * as clock from '@limpettack/clock';
import * as lifetime from '@limpettack/lifetime';

import * as seededRandom from './createSeededRandom.js';
import * as httpListener from './HttpListener.js';
import * as messages from './httpMessages.js';
import type { StreamCounts } from './LogStream.js';
import * as laggingVmList from './LaggingVmList.js';
import * as noFaults from './noFaults.js';
import * as rateLimiter from './RateLimiter.js';
import * as replies from './reply.js';
import * as resetSocket from './resetSocket.js';
import * as schemas from './schemas.js';
import * as streamLog from './StreamLog.js';
import type { PlatformFaultChanges, PlatformFaults, PlatformSettings, VmEntry } from './Types.js';

const RECORDS_PATH = /^\/log\/streams\/([^/]+)\/records$/;
const WEIGHTS_PATH = /^\/weights\/([^/]+)\/([^/]+)$/;

/** Simulates the platform: its log, its list of VMs and its weight store. */
export class PlatformServer implements lifetime.Disposable {
  private readonly store = new lifetime.DisposableStore();

  private readonly listener: httpListener.HttpListener;

  private readonly log: streamLog.StreamLog;

  private readonly vmList: laggingVmList.LaggingVmList;

  private readonly appendLimiter: rateLimiter.RateLimiter;

  private readonly weightLimiter: rateLimiter.RateLimiter;

  private readonly settings: PlatformSettings;

  private faults: PlatformFaults = noFaults.NO_PLATFORM_FAULTS;

  private random = seededRandom.createSeededRandom(this.faults.seed);

  /** Fires when pending reads must return because a log outage starts or the server stops. */
  private readonly readWaitsEnded = new lifetime.Emitter<void>();

  public constructor(
    private readonly time: clock.Clock,
    settings: Partial<PlatformSettings> = {},
  ) {
    this.settings = schemas.PLATFORM_SETTINGS.parse(settings);
    this.log = new streamLog.StreamLog(time, () => this.retentionMs());
    this.vmList = new laggingVmList.LaggingVmList(time);
    this.appendLimiter = new rateLimiter.RateLimiter(time, this.settings.appendsPerSecond);
    this.weightLimiter = new rateLimiter.RateLimiter(time, this.settings.weightsPerSecond);
    this.listener = this.store.add(
      new httpListener.HttpListener(this.settings.host, this.settings.port, (request, response) =>
        this.handle(request, response),
      ),
    );
    this.store.addCallback(() => this.readWaitsEnded.fire());
  }

  /** Address on which the server listens, as `host:port`. */
  public get address(): string {
    return this.listener.address;
  }

  /** The server's URL. */
  public get url(): string {
    return `http://${this.address}`;
  }

  /** Starts listening. */
  public start(): Promise<void> {
    return this.listener.start();
  }

  /** Updates the given faults and leaves the others unchanged. Throws when a value is invalid. */
  public setFaults(changes: PlatformFaultChanges): void {
    const faults = schemas.PLATFORM_FAULTS.parse({ ...this.faults, ...changes });
    this.faults = faults;
    if (changes.seed !== undefined) this.random = seededRandom.createSeededRandom(changes.seed);
    this.vmList.freeze(faults.vmListFrozen, this.vmListLagMs());
    if (faults.logOutage) this.readWaitsEnded.fire();
  }

  /** Sets the list of VMs. */
  public setVms(vms: readonly VmEntry[]): void {
    this.vmList.set(vms);
  }

  /** Number of appends, records and bytes by stream. */
  public counts(): Readonly<Record<string, StreamCounts>> {
    return this.log.counts();
  }

  /** @inheritdoc */
  public dispose(): Promise<void> {
    return this.store.dispose();
  }

  private async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const url = messages.parseUrl(request);
    const body = await messages.readBody(request);
    if (url.pathname.startsWith('/admin/')) {
      this.handleAdmin(request, url, body, response);
      return;
    }
    await this.time.sleep(this.settings.latencyMs);
    if (url.pathname.startsWith('/log/')) {
      await this.handleLog(request, url, body, response);
      return;
    }
    if (url.pathname === '/vms') {
      messages.sendJson(response, 200, { vms: this.vmList.reported(this.vmListLagMs()) });
      return;
    }
    if (WEIGHTS_PATH.test(url.pathname)) this.handleWeights(response);
    else messages.sendJson(response, 404, replies.REFUSALS.INVALID);
  }

  private handleAdmin(
    request: http.IncomingMessage,
    url: URL,
    body: string,
    response: http.ServerResponse,
  ): void {
    if (request.method === 'GET' && url.pathname === '/admin/log') {
      messages.sendJson(response, 200, { streams: this.counts() });
      return;
    }
    if (request.method === 'POST' && url.pathname === '/admin/faults') {
      const changes = messages.parseJson(schemas.PLATFORM_FAULT_CHANGES, body);
      if (changes !== undefined) this.setFaults(changes);
      messages.sendJson(response, changes === undefined ? 400 : 200, this.faults);
      return;
    }
    if (request.method === 'PUT' && url.pathname === '/admin/vms') {
      const list = messages.parseJson(schemas.VM_LIST_BODY, body);
      if (list !== undefined) this.setVms(list.vms);
      messages.sendJson(response, list === undefined ? 400 : 204);
      return;
    }
    messages.sendJson(response, 404, replies.REFUSALS.INVALID);
  }

  private async handleLog(
    request: http.IncomingMessage,
    url: URL,
    body: string,
    response: http.ServerResponse,
  ): Promise<void> {
    await this.time.sleep(this.faults.logDelayMs);
    if (this.faults.logOutage) {
      messages.sendJson(response, 503, replies.REFUSALS.UNAVAILABLE);
      return;
    }
    const stream = RECORDS_PATH.exec(url.pathname)?.[1];
    if (url.pathname === '/log/retention') {
      messages.sendJson(response, 200, { retentionMs: this.retentionMs() });
    } else if (stream !== undefined && request.method === 'POST') {
      this.handleAppend(decodeURIComponent(stream), body, response);
    } else if (stream !== undefined && request.method === 'GET') {
      await this.handleRead(decodeURIComponent(stream), url, response);
    } else {
      messages.sendJson(response, 404, replies.REFUSALS.INVALID);
    }
  }

  private handleAppend(stream: string, body: string, response: http.ServerResponse): void {
    const parsed = messages.parseJson(schemas.APPEND_BODY, body);
    if (parsed === undefined) {
      messages.sendJson(response, 400, replies.REFUSALS.INVALID);
      return;
    }
    const retryAfterMs = this.appendLimiter.tryAcquire();
    if (retryAfterMs > 0) {
      messages.sendJson(response, 429, { retryAfterMs });
      return;
    }
    const firstOffset = this.log.append(stream, parsed.payloads);
    if (this.shouldDropResponse()) resetSocket.resetResponse(response);
    else messages.sendJson(response, 200, { firstOffset });
  }

  /** Whether a fault drops this response; a use of `loseAnswers` decrements it. */
  private shouldDropResponse(): boolean {
    const { loseAnswers, loseAnswersProbability } = this.faults;
    if (loseAnswers > 0) {
      this.faults = { ...this.faults, loseAnswers: loseAnswers - 1 };
      return true;
    }
    return loseAnswersProbability > 0 && this.random() < loseAnswersProbability;
  }

  private async handleRead(stream: string, url: URL, response: http.ServerResponse): Promise<void> {
    const query = schemas.READ_QUERY.safeParse(Object.fromEntries(url.searchParams)).data;
    if (query === undefined) {
      messages.sendJson(response, 400, replies.REFUSALS.INVALID);
      return;
    }
    const { from, limit, waitMs } = query;
    let page = this.log.read(stream, from, limit);
    if (from >= page.tailOffset && waitMs > 0) {
      await this.log.waitForAppend(stream, waitMs, this.readWaitsEnded.event);
      page = this.log.read(stream, from, limit);
    }
    if (this.faults.logOutage) {
      messages.sendJson(response, 503, replies.REFUSALS.UNAVAILABLE);
    } else if (from < page.firstOffset) {
      messages.sendJson(response, 410, { firstOffset: page.firstOffset });
    } else {
      messages.sendJson(response, 200, page);
    }
  }

  private handleWeights(response: http.ServerResponse): void {
    const retryAfterMs = this.weightLimiter.tryAcquire();
    if (retryAfterMs > 0) messages.sendJson(response, 429, { retryAfterMs });
    else response.writeHead(200).end(Buffer.alloc(this.settings.weightBytes));
  }

  private retentionMs(): clock.Milliseconds {
    return this.faults.retentionMs ?? this.settings.retentionMs;
  }

  private vmListLagMs(): clock.Milliseconds {
    return this.faults.vmListLagMs ?? this.settings.vmListLagMs;
  }
}
