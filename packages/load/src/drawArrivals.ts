import type { Arrival, ProgramStep } from './Types.js';
import * as randomDraws from './RandomDraws.js';
import type { ProgramKind, Scenario } from './scenarios.js';

/** Distance between the seeds of two runs, so that workspaces of different runs share no seed. */
const SEED_STRIDE = 1_009;

/**
 * Draws all programs of a run. Each workspace has a random sequence of its own. It therefore sends
 * the same programs at the same times when it runs alone.
 */
export function drawArrivals(scenario: Scenario, seed: number): readonly Arrival[] {
  return scenario.workspaces
    .flatMap((workspace, index) => {
      const draws = new randomDraws.RandomDraws(seed * SEED_STRIDE + index);
      return arrivalTimes(scenario, workspace, draws).map((atMs, count) => {
        const kind = draws.pickWeighted(workspace.mix);
        const programKind = findProgramKind(scenario, kind);
        return {
          id: `${workspace.name}-${seed}-${count}`,
          atMs,
          workspace: workspace.name,
          kind,
          steps: drawSteps(scenario, programKind, draws),
          ...(programKind.endlessUntilCalls === undefined
            ? {}
            : { budgetCalls: programKind.endlessUntilCalls }),
        };
      });
    })
    .sort((left, right) => left.atMs - right.atMs);
}

function arrivalTimes(
  scenario: Scenario,
  workspace: Scenario['workspaces'][number],
  draws: randomDraws.RandomDraws,
): readonly number[] {
  const times: number[] = [];
  let atMs = 0;
  for (;;) {
    // The gap is drawn with the current rate, so a burst begins and ends at the next arrival.
    atMs += draws.interarrivalMs(
      workspace.programsPerSecond * factorAt(scenario, workspace.name, atMs),
    );
    if (atMs >= scenario.durationMs) return times;
    times.push(atMs);
  }
}

function factorAt(scenario: Scenario, workspace: string, atMs: number): number {
  const { burst } = scenario;
  const isBursting = burst?.workspace === workspace && atMs >= burst.fromMs && atMs < burst.untilMs;
  return isBursting ? burst.factor : 1;
}

function drawSteps(
  scenario: Scenario,
  kind: ProgramKind,
  draws: randomDraws.RandomDraws,
): readonly ProgramStep[] {
  // A program that never ends on its own requests one turn more than its budget allows.
  const turns =
    kind.endlessUntilCalls === undefined ? draws.integer(kind.turns) : kind.endlessUntilCalls + 1;
  const steps: ProgramStep[] = [];
  for (let turn = 0; turn < turns; turn += 1) {
    if (turn > 0) steps.push(...drawGap(kind, draws));
    const range = turn === 0 ? kind.firstPromptTokens : kind.promptTokens;
    const promptTokens = draws.integer(range);
    steps.push({
      kind: 'turn',
      promptTokens,
      generatedTokens: draws.integer(kind.generatedTokens),
    });
    if (turn === 0) steps.push(...drawChildren(scenario, kind, draws));
  }
  if (kind.orders) steps.push({ kind: 'order' });
  return steps;
}

function drawGap(kind: ProgramKind, draws: randomDraws.RandomDraws): readonly ProgramStep[] {
  const pause = { kind: 'pause', durationMs: draws.integer(kind.pauseMs) } as const;
  return draws.chance(kind.readShare) ? [pause, { kind: 'read' }] : [pause];
}

function drawChildren(
  scenario: Scenario,
  kind: ProgramKind,
  draws: randomDraws.RandomDraws,
): readonly ProgramStep[] {
  const { children } = kind;
  if (children === undefined) return [];
  const childKind = findProgramKind(scenario, children.kind);
  const programs = Array.from({ length: children.count }, () =>
    drawSteps(scenario, childKind, draws),
  );
  return [{ kind: 'children', programs }];
}

function findProgramKind(scenario: Scenario, name: string): ProgramKind {
  const kind = scenario.programs[name];
  if (kind === undefined) throw new Error(`The scenario has no program kind ${name}`);
  return kind;
}
