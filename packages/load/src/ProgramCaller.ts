import type * as clock from '@limpettack/clock';
import * as testKit from '@limpettack/test-kit';

import type { Arrival, ProgramState, ProgramStep } from './Types.js';
import type * as runRecorder from './RunRecorder.js';
import type { Scenario } from './scenarios.js';
import * as workspaceCallers from './WorkspaceCaller.js';

const DIGEST_PATTERN = /^digest=([0-9a-f]{16});/;
const STATUS_OK = 200;
const STATUS_CREATED = 201;
/** Budget of a child program: calls, and tokens. */
const CHILD_BUDGET_CALLS = 30;
const CHILD_BUDGET_TOKENS = 2_000;

const BUDGET_EXHAUSTED_KIND = 'budget-exhausted';

/** Result of a program or of one of its steps. */
export interface ProgramResult {
  readonly state: ProgramState;
  readonly reason?: string;
}

/** Dependencies that the callers of all programs share. */
export interface ProgramCallerOptions {
  readonly scenario: Scenario;
  readonly caller: workspaceCallers.WorkspaceCaller;
  readonly recorder: runRecorder.RunRecorder;
  readonly clock: clock.Clock;
  /** Whether to send a model call a second time concurrently; drawn for each call. */
  readonly shouldResend: () => boolean;
}

type HistoryMessage = Parameters<typeof testKit.digestOfHistory>[0][number];

interface Usage {
  readonly prompt_tokens: number;
  readonly prompt_tokens_details: { readonly cached_tokens: number };
}

/** Runs one program step by step and checks each response against the expected history. */
export class ProgramCaller {
  private readonly history: HistoryMessage[] = [];

  private program = '';

  private historyTokens = 0;

  /** Number of turns so far; each model call and each service call is one turn. */
  private turnCount = 0;

  public constructor(
    private readonly options: ProgramCallerOptions,
    private readonly arrival: Arrival,
    private readonly steps: readonly ProgramStep[] = arrival.steps,
    private readonly parent?: string,
    private readonly label = arrival.id,
  ) {}

  /** Opens the program, runs all its steps and ends it. */
  public async run(): Promise<ProgramResult> {
    const openFailure = await this.open();
    if (openFailure !== undefined) return openFailure;
    const result = await this.runSteps();
    await this.send('DELETE', `/v1/programs/${this.program}`);
    return result;
  }

  private async runSteps(): Promise<ProgramResult> {
    for (const step of this.steps) {
      const result = await this.runStep(step);
      if (result !== undefined) return result;
    }
    return { state: 'completed' };
  }

  /** Runs one step. Resolves with undefined when the program continues. */
  private runStep(step: ProgramStep): Promise<ProgramResult | undefined> {
    switch (step.kind) {
      case 'turn':
        return this.runTurn(step.promptTokens, step.generatedTokens);
      case 'pause':
        return this.options.clock.sleep(step.durationMs).then(() => undefined);
      case 'children':
        return this.runChildren(step.programs);
      default:
        return this.callService(step.kind);
    }
  }

  private async open(): Promise<ProgramResult | undefined> {
    const { scenario } = this.options;
    const body = {
      route: scenario.routes.models,
      ...(this.parent === undefined ? {} : { parent: this.parent }),
      ...this.budget(),
    };
    // When the workspace is over its rate, a client gives up opening a top-level program.
    const response = await this.send('POST', '/v1/programs', body, this.parent === undefined);
    if (response.status !== STATUS_CREATED) return resultOf(response);
    this.program = (JSON.parse(response.text) as { program: string }).program;
    return undefined;
  }

  /** A child's budget is reserved from its parent's, so it requests a small one explicitly. */
  private budget(): { readonly budget?: Readonly<Record<string, number>> } {
    if (this.parent !== undefined) {
      return { budget: { calls: CHILD_BUDGET_CALLS, tokens: CHILD_BUDGET_TOKENS } };
    }
    const { budgetCalls } = this.arrival;
    return budgetCalls === undefined ? {} : { budget: { calls: budgetCalls } };
  }

  private send(
    method: 'POST' | 'DELETE',
    path: string,
    body?: unknown,
    stopsWhenRateLimited = false,
  ): Promise<testKit.CallerResponse> {
    const { caller } = this.options;
    return caller.sendWithRetries({
      stopsWhenRateLimited,
      send: (vm) =>
        caller.caller.send(vm, method, path, {
          timeoutMs: caller.attemptTimeoutMs,
          ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        }),
    });
  }

  private async runTurn(
    promptTokens: number,
    generatedTokens: number,
  ): Promise<ProgramResult | undefined> {
    const { caller, shouldResend, scenario } = this.options;
    this.turnCount += 1;
    const turn = this.turnCount;
    const text = `${createPrompt(this.label, turn, promptTokens)} generate=${generatedTokens}`;
    const request = {
      send: (vm: testKit.CallerEndpoint) =>
        caller.caller.chat(vm, {
          route: scenario.routes.models,
          program: this.program,
          turn,
          text,
          maximumTokens: generatedTokens,
          deadlineMs: scenario.callDeadlineMs,
          timeoutMs: caller.attemptTimeoutMs,
        }),
    };
    const resent = shouldResend() ? caller.sendOnce(request) : undefined;
    const response = await caller.sendWithRetries(request);
    await resent;
    if (response.status !== STATUS_OK) return resultOf(response);
    return this.recordTurn(turn, text, response);
  }

  /** Checks the response of a turn and adds it to the history. */
  private recordTurn(
    turn: number,
    text: string,
    response: testKit.CallerResponse,
  ): ProgramResult | undefined {
    const { recorder } = this.options;
    const content = testKit.contentOf(response);
    this.history.push({ role: 'user', content: text });
    const expected = testKit.digestOfHistory(this.history);
    if (DIGEST_PATTERN.exec(content)?.[1] !== expected) {
      const detail = `${this.label} turn ${turn} is based on another history`;
      recorder.addBreach({ promise: 'own-history', detail });
      return { state: 'failed', reason: detail };
    }
    this.history.push({ role: 'assistant', content });
    const { usage } = JSON.parse(response.text) as { usage: Usage };
    recorder.addPrefill({
      promptTokens: usage.prompt_tokens,
      cachedTokens: usage.prompt_tokens_details.cached_tokens,
      historyTokens: this.historyTokens,
    });
    this.historyTokens = usage.prompt_tokens + content.split(' ').length;
    return undefined;
  }

  private async callService(kind: 'read' | 'order'): Promise<ProgramResult | undefined> {
    const { caller, scenario } = this.options;
    this.turnCount += 1;
    const turn = this.turnCount;
    const idempotencyKey = kind === 'order' ? `${this.label}-${turn}` : undefined;
    const keyed = idempotencyKey === undefined ? {} : { idempotencyKey };
    const response = await caller.sendWithRetries({
      ...keyed,
      send: (vm) =>
        caller.caller.service(vm, {
          route: kind === 'order' ? scenario.routes.orders : scenario.routes.reads,
          ...keyed,
          program: this.program,
          turn,
          body: this.label,
          timeoutMs: caller.attemptTimeoutMs,
        }),
    });
    return response.status === STATUS_OK ? undefined : resultOf(response);
  }

  private async runChildren(
    programs: readonly (readonly ProgramStep[])[],
  ): Promise<ProgramResult | undefined> {
    const results = await Promise.all(
      programs.map((steps, index) => {
        const label = `${this.label}-child-${index}`;
        return new ProgramCaller(this.options, this.arrival, steps, this.program, label).run();
      }),
    );
    return results.find((result) => result.state !== 'completed');
  }
}

function resultOf(response: testKit.CallerResponse): ProgramResult {
  const refusal = workspaceCallers.parseRefusal(response);
  const reason = `${response.status} ${response.text}`;
  if (refusal?.kind === BUDGET_EXHAUSTED_KIND) return { state: 'stopped-by-budget', reason };
  return { state: response.status === 429 ? 'refused' : 'failed', reason };
}

/** Prompt of `count - 1` words, unique by its first word; the caller appends the last word. */
function createPrompt(label: string, turn: number, count: number): string {
  return Array.from({ length: Math.max(1, count - 1) }, (_, index) =>
    index === 0 ? `${label}/${turn}` : 'word',
  ).join(' ');
}
