/** The promises that the soak judges. */
export const PROMISES = {
  ORDER_AND_HISTORY: 'order and history',
  KEPT_TURNS: 'kept turns after power loss',
  BUDGET: 'budget',
  ENGINE_MEMORY: 'engine memory',
  ISOLATION: "callers' keys",
  LIMITS: 'limits',
  WHOLE_ANSWERS: 'whole answers',
  NOT_RUN: 'not run',
  AT_MOST_ONCE: 'at most once',
  CONFIGURATION: 'configuration',
  BOUNDED_TIME: 'bounded time',
  PROCESSES: 'no process dies by itself',
};

/** Counts the checks made for each promise and keeps what was violated. */
export class Verdicts {
  constructor() {
    this.rows = new Map(
      Object.values(PROMISES).map((promise) => [promise, { checks: 0, violations: [] }]),
    );
    /** Figures that are no promise, by name. */
    this.figures = new Map();
  }

  /** Counts a check; the detail says what was seen when it fails. */
  check(promise, isKept, detail) {
    const row = this.rows.get(promise);
    row.checks += 1;
    if (!isKept) row.violations.push(typeof detail === 'function' ? detail() : detail);
  }

  /** Adds to a figure. */
  count(name, amount = 1) {
    this.figures.set(name, (this.figures.get(name) ?? 0) + amount);
  }

  /** Raises a figure to a value that is larger. */
  raise(name, value) {
    this.figures.set(name, Math.max(this.figures.get(name) ?? 0, value));
  }

  /** How many checks failed, over all promises. */
  get violationCount() {
    return [...this.rows.values()].reduce((sum, row) => sum + row.violations.length, 0);
  }
}
