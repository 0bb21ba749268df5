import type * as clock from '@limpettack/clock';
import type * as zod from 'zod';

import type * as schemas from './schemas.js';

/** Status values that a target reports. */
export const STATUSES = { READY: 'ready', LEAVING: 'leaving', LOADING: 'loading' } as const;

/** An order to load a model, an adapter or a version, or to change the role. */
export type EngineOrder = zod.infer<typeof schemas.ORDER_BODY>;

/** Model, adapter, version and role of an engine, as set by its orders. */
export interface EngineState {
  readonly model: string;
  readonly adapter: string | undefined;
  readonly version: string | undefined;
  readonly role: string | undefined;
  /** All accepted orders, in the order of arrival. */
  readonly orders: readonly EngineOrder[];
}

const LOAD_PREFIX = 'load';

/** Applies orders and simulates the loading time. */
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

  /** Current model, adapter, version and role, and the accepted orders. */
  public get state(): EngineState {
    return this.current;
  }

  /** `loading` until the last load order has taken its time, `ready` otherwise. */
  public get status(): string {
    return this.time.now() < this.loadedAt ? STATUSES.LOADING : STATUSES.READY;
  }

  /** Applies an order. An order whose name begins with `load` takes the loading time. */
  public apply(order: EngineOrder): void {
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
