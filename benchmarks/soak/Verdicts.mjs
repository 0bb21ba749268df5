/** The promises that the soak tests check. */
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
  MEMORY: 'no process exceeds its memory limit',
};

/** Counts the checks of each promise and collects the violations. */
export class Verdicts {
  constructor() {
    this.rows = new Map(
      Object.values(PROMISES).map((promise) => [promise, { checks: 0, violations: [] }]),
    );
    /** Figures that belong to no promise, by name. */
    this.figures = new Map();
  }

  /**
   * Records a check of a promise. When it fails, `detail`, a text or a function that returns one,
   * describes the violation.
   */
  check(promise, isKept, detail) {
    const row = this.rows.get(promise);
    row.checks += 1;
    if (!isKept) row.violations.push(typeof detail === 'function' ? detail() : detail);
  }

  /** Adds an amount to a figure. */
  count(name, amount = 1) {
    this.figures.set(name, (this.figures.get(name) ?? 0) + amount);
  }

  /** Raises a figure to a value if the value is larger. */
  raise(name, value) {
    this.figures.set(name, Math.max(this.figures.get(name) ?? 0, value));
  }

  /** Number of failed checks over all promises. */
  get violationCount() {
    return [...this.rows.values()].reduce((sum, row) => sum + row.violations.length, 0);
  }
}
