import type * as clock from '@limpettack/clock';
import type * as zod from 'zod';

import type * as schemas from './schemas.js';

/** Status of a target as it reports it. */
export const STATUSES = { READY: 'ready', LEAVING: 'leaving', LOADING: 'loading' } as const;

/** An order to load something or to change role. */
export type EngineOrder = zod.infer<typeof schemas.ORDER_BODY>;

/** What an engine has been ordered to serve. */
export interface EngineState {
  readonly model: string;
  readonly adapter: string | undefined;
  readonly version: string | undefined;
  readonly role: string | undefined;
  /** All orders taken, in order. */
  readonly orders: readonly EngineOrder[];
}

const LOAD_PREFIX = 'load';

/** Takes orders and loads what they ask for. */
export class EngineOrders {
  private current: EngineState;

  private loadedAt = -Infinity;

  public constructor(
    private readonly time: clock.Clock,
    model: string,
    private readonly loadingMs: clock.Milliseconds,
  ) {
    this.current = { model, adapter: undefined, version: undefined, role: undefined, orders: [] };
  }

  /** What the engine serves. */
  public get state(): EngineState {
    return this.current;
  }

  /** Whether the engine is loading. */
  public get status(): string {
    return this.time.now() < this.loadedAt ? STATUSES.LOADING : STATUSES.READY;
  }

  /** Takes an order. One whose name begins with `load` takes time. */
  public take(order: EngineOrder): void {
    this.current = {
      model: order.model ?? this.current.model,
      adapter: order.adapter ?? this.current.adapter,
      version: order.version ?? this.current.version,
      role: order.role ?? this.current.role,
      orders: [...this.current.orders, order],
    };
    if (order.order.startsWith(LOAD_PREFIX)) this.loadedAt = this.time.now() + this.loadingMs;
  }
}
