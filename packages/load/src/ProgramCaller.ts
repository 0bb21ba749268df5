import type * as clock from '@limpettack/clock';
import * as testKit from '@limpettack/test-kit';

import type { Arrival, ProgramState, ProgramStep } from './Types.js';
import type * as runRecorder from './RunRecorder.js';
import type { Scenario } from './scenarios.js';
import * as workspaceCallers from './WorkspaceCaller.js';

const DIGEST_PATTERN = /^digest=([0-9a-f]{16});/;
const STATUS_OK = 200;
const STATUS_CREATED = 201;
/** Calls that a sub-agent may make, and tokens that it may generate. */
const CHILD_CALLS = 30;
const CHILD_TOKENS = 2_000;

const BUDGET_KIND = 'budget-exhausted';

/** How a program or a part of it ended. */
export interface ProgramEnd {
  readonly state: ProgramState;
  readonly reason?: string;
}

/** What the callers of all programs share. */
export interface ProgramCallerOptions {
  readonly scenario: Scenario;
  readonly caller: workspaceCallers.WorkspaceCaller;
  readonly recorder: runRecorder.RunRecorder;
  readonly clock: clock.Clock;
  /** Whether a model call is sent a second time at once; drawn for each call. */
  readonly resends: () => boolean;
}

type HistoryMessage = Parameters<typeof testKit.digestOfHistory>[0][number];

interface Usage {
  readonly prompt_tokens: number;
  readonly prompt_tokens_details: { readonly cached_tokens: number };
}

/** Runs one program step by step and checks each answer against the history that it knows. */
export class ProgramCaller {
  private readonly history: HistoryMessage[] = [];

  private program = '';

  private historyTokens = 0;

  /** Calls of the program so far; a service call takes a turn as a model call does. */
  private turnCount = 0;

  public constructor(
    private readonly options: ProgramCallerOptions,
    private readonly arrival: Arrival,
    private readonly steps: readonly ProgramStep[] = arrival.steps,
    private readonly parent?: string,
    private readonly label = arrival.id,
  ) {}

  /** Opens the program, runs all its steps and ends it. */
  public async run(): Promise<ProgramEnd> {
    const opened = await this.open();
    if (opened !== undefined) return opened;
    const end = await this.runSteps();
    await this.send('DELETE', `/v1/programs/${this.program}`);
    return end;
  }

  private async runSteps(): Promise<ProgramEnd> {
    for (const step of this.steps) {
      const end = await this.runStep(step);
      if (end !== undefined) return end;
    }
    return { state: 'completed' };
  }

  /** Nothing when the program goes on. */
  private runStep(step: ProgramStep): Promise<ProgramEnd | undefined> {
    switch (step.kind) {
      case 'turn':
        return this.turn(step.promptTokens, step.generatedTokens);
      case 'pause':
        return this.options.clock.sleep(step.durationMs).then(() => undefined);
      case 'children':
        return this.children(step.programs);
      default:
        return this.service(step.kind);
    }
  }

  private async open(): Promise<ProgramEnd | undefined> {
    const { scenario } = this.options;
    const body = {
      route: scenario.routes.models,
      ...(this.parent === undefined ? {} : { parent: this.parent }),
      ...this.budget(),
    };
    // A client that is told at the door that its house is over its rate goes away.
    const answer = await this.send('POST', '/v1/programs', body, this.parent === undefined);
    if (answer.status !== STATUS_CREATED) return endOf(answer);
    this.program = (JSON.parse(answer.text) as { program: string }).program;
    return undefined;
  }

  /** A sub-agent's budget is taken from its parent's, so that it says how little it needs. */
  private budget(): { readonly budget?: Readonly<Record<string, number>> } {
    if (this.parent !== undefined) {
      return { budget: { calls: CHILD_CALLS, tokens: CHILD_TOKENS } };
    }
    const { budgetCalls } = this.arrival;
    return budgetCalls === undefined ? {} : { budget: { calls: budgetCalls } };
  }

  private send(
    method: 'POST' | 'DELETE',
    path: string,
    body?: unknown,
    givesUpOverRate = false,
  ): Promise<testKit.CallerAnswer> {
    const { caller } = this.options;
    return caller.untilAnswered({
      givesUpOverRate,
      send: (vm) =>
        caller.caller.send(vm, method, path, {
          timeoutMs: caller.tryLimitMs,
          ...(body === undefined ? {} : { body: JSON.stringify(body) }),
        }),
    });
  }

  private async turn(
    promptTokens: number,
    generatedTokens: number,
  ): Promise<ProgramEnd | undefined> {
    const { caller, resends, scenario } = this.options;
    this.turnCount += 1;
    const turn = this.turnCount;
    const text = `${words(this.label, turn, promptTokens)} generate=${generatedTokens}`;
    const request = {
      send: (vm: testKit.CallerEndpoint) =>
        caller.caller.chat(vm, {
          route: scenario.routes.models,
          program: this.program,
          turn,
          text,
          maximumTokens: generatedTokens,
          deadlineMs: scenario.callDeadlineMs,
          timeoutMs: caller.tryLimitMs,
        }),
    };
    const second = resends() ? caller.sendOnce(request) : undefined;
    const answer = await caller.untilAnswered(request);
    await second;
    if (answer.status !== STATUS_OK) return endOf(answer);
    return this.take(turn, text, answer);
  }

  private take(turn: number, text: string, answer: testKit.CallerAnswer): ProgramEnd | undefined {
    const { recorder } = this.options;
    const content = testKit.contentOf(answer);
    this.history.push({ role: 'user', content: text });
    const expected = testKit.digestOfHistory(this.history);
    if (DIGEST_PATTERN.exec(content)?.[1] !== expected) {
      const detail = `${this.label} turn ${turn} rests on another history`;
      recorder.addBreach({ promise: 'own-history', detail });
      return { state: 'failed', reason: detail };
    }
    this.history.push({ role: 'assistant', content });
    const { usage } = JSON.parse(answer.text) as { usage: Usage };
    recorder.addPrefill({
      promptTokens: usage.prompt_tokens,
      cachedTokens: usage.prompt_tokens_details.cached_tokens,
      historyTokens: this.historyTokens,
    });
    this.historyTokens = usage.prompt_tokens + content.split(' ').length;
    return undefined;
  }

  private async service(kind: 'read' | 'order'): Promise<ProgramEnd | undefined> {
    const { caller, scenario } = this.options;
    this.turnCount += 1;
    const turn = this.turnCount;
    const idempotencyKey = kind === 'order' ? `${this.label}-${turn}` : undefined;
    const keyed = idempotencyKey === undefined ? {} : { idempotencyKey };
    const answer = await caller.untilAnswered({
      ...keyed,
      send: (vm) =>
        caller.caller.service(vm, {
          route: kind === 'order' ? scenario.routes.orders : scenario.routes.reads,
          ...keyed,
          program: this.program,
          turn,
          body: this.label,
          timeoutMs: caller.tryLimitMs,
        }),
    });
    return answer.status === STATUS_OK ? undefined : endOf(answer);
  }

  private async children(
    programs: readonly (readonly ProgramStep[])[],
  ): Promise<ProgramEnd | undefined> {
    const ends = await Promise.all(
      programs.map((steps, index) => {
        const label = `${this.label}-child-${index}`;
        return new ProgramCaller(this.options, this.arrival, steps, this.program, label).run();
      }),
    );
    return ends.find((end) => end.state !== 'completed');
  }
}

function endOf(answer: testKit.CallerAnswer): ProgramEnd {
  const refusal = workspaceCallers.refusalIn(answer);
  const reason = `${answer.status} ${answer.text}`;
  if (refusal?.kind === BUDGET_KIND) return { state: 'stopped-by-budget', reason };
  return { state: answer.status === 429 ? 'refused' : 'failed', reason };
}

/** So many words, others for each program and turn; the length is told by one more word. */
function words(label: string, turn: number, count: number): string {
  return Array.from({ length: Math.max(1, count - 1) }, (_, index) =>
    index === 0 ? `${label}/${turn}` : 'word',
  ).join(' ');
}
