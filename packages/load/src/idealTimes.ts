import type * as clock from '@limpettack/clock';
import type { Arrival, ProgramStep } from './Types.js';
import type { Scenario } from './scenarios.js';

const DEFAULT_SLOTS = 16;
const DEFAULT_PREFILL_MS_PER_TOKEN = 0.05;
const DEFAULT_DECODE_MS_PER_TOKEN = 2;
const DEFAULT_BATCH_SLOWDOWN = 0.5;
const DEFAULT_SERVICE_TIME_MS = 5;

/** Slot time of a program in a full batch when each token is prefilled once, in milliseconds. */
export function slotTimeMs(scenario: Scenario, steps: readonly ProgramStep[]): clock.Milliseconds {
  const slowdown = Number(scenario.fleet.engineOptions['batch-slowdown'] ?? DEFAULT_BATCH_SLOWDOWN);
  return steps.reduce((sum, step) => {
    if (step.kind === 'turn') return sum + turnMs(scenario, step, 1 + slowdown);
    if (step.kind !== 'children') return sum;
    return sum + step.programs.reduce((total, child) => total + slotTimeMs(scenario, child), 0);
  }, 0);
}

/** Latency of a program on idle engines with its whole history cached, in milliseconds. */
export function idealMs(scenario: Scenario, steps: readonly ProgramStep[]): clock.Milliseconds {
  return steps.reduce((sum, step) => sum + idealStepMs(scenario, step), 0);
}

/** Slot time of all arrivals divided by the slot time that the engines provide. */
export function offeredLoad(scenario: Scenario, arrivals: readonly Arrival[]): number {
  const { engines, engineOptions } = scenario.fleet;
  const slots = engines * Number(engineOptions.slots ?? DEFAULT_SLOTS);
  const demandMs = arrivals.reduce((sum, arrival) => sum + slotTimeMs(scenario, arrival.steps), 0);
  return demandMs / (slots * scenario.durationMs);
}

function idealStepMs(scenario: Scenario, step: ProgramStep): clock.Milliseconds {
  const { serviceOptions } = scenario.fleet;
  switch (step.kind) {
    case 'turn':
      return turnMs(scenario, step, 1);
    case 'pause':
      return step.durationMs;
    case 'children':
      return Math.max(0, ...step.programs.map((child) => idealMs(scenario, child)));
    default:
      return Number(serviceOptions['service-time-ms'] ?? DEFAULT_SERVICE_TIME_MS);
  }
}

function turnMs(
  scenario: Scenario,
  step: Extract<ProgramStep, { kind: 'turn' }>,
  slowdown: number,
): clock.Milliseconds {
  const options = scenario.fleet.engineOptions;
  const prefill = Number(options['prefill-ms-per-token'] ?? DEFAULT_PREFILL_MS_PER_TOKEN);
  const decode = Number(options['decode-ms-per-token'] ?? DEFAULT_DECODE_MS_PER_TOKEN);
  return step.promptTokens * prefill + step.generatedTokens * decode * slowdown;
}
