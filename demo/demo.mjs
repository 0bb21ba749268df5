/**
 * Demonstrates the system with a platform, targets and three VMs, each in its own process. Runs one
 * program of Quito and one of Kerala, sends an order twice that runs once, and withdraws a key.
 */
import * as testKit from '@limpettack/test-kit';

const WITHDRAWAL_TIMEOUT_MS = 5_000;
const TURNS = 4;

/** Returns tables that serve both installations on one small fleet. */
function createTables(targets) {
  const rows = (kind) =>
    targets
      .filter((target) => target.kind === kind)
      .map(({ name, url, failureDomain, slots }) => ({ name, url, failureDomain, slots }));
  return {
    routes: [
      { name: 'agent-models', kind: 'model', pool: 'quito-engines' },
      { name: 'map-assistant', kind: 'model', pool: 'kerala-engines' },
      {
        name: 'desk-app',
        kind: 'service',
        pool: 'desk',
        repeatable: false,
        note: 'Ask the rental house whether the deposit was charged.',
      },
    ],
    pools: [
      {
        name: 'quito-engines',
        kind: 'model',
        model: 'stand-in',
        targets: rows('engine').slice(0, 2),
      },
      {
        name: 'kerala-engines',
        kind: 'model',
        model: 'stand-in',
        targets: rows('engine').slice(2),
      },
      { name: 'desk', kind: 'service', outcomeQuery: '/outcomes/{key}', targets: rows('service') },
    ],
    workspaces: [
      { name: 'lentes-norte', ratePerSecond: 50, burst: 100 },
      { name: 'parish-kochi', ratePerSecond: 50, burst: 100 },
    ],
  };
}

/** Runs a program of several turns. Each turn goes through a different VM than the previous one. */
async function runProgram(fleet, caller, route, question) {
  const program = await caller.openProgram(fleet.vm(0), { route });
  for (let turn = 1; turn <= TURNS; turn += 1) {
    const vm = fleet.vm(turn % fleet.vms.length);
    const answer = await caller.chat(vm, { route, program, turn, text: `${question} (${turn})` });
    if (answer.status !== 200) throw new Error(`Turn ${turn} failed: ${answer.text}`);
    console.log(`  turn ${turn} through ${vm.name}: ${testKit.contentOf(answer)}`);
  }
  return program;
}

/** Sends one order twice, through two VMs, and prints how often it was executed. */
async function orderOnce(fleet, caller, program) {
  const order = {
    route: 'desk-app',
    path: '/deposits',
    program,
    turn: TURNS + 1,
    idempotencyKey: 'deposit-81',
    body: 'charge the deposit',
  };
  const answers = [
    await caller.service(fleet.vm(0), order),
    await caller.service(fleet.vm(1), order),
  ];
  const { byKey } = await fleet.target('service-1').target.executions();
  console.log(`  order sent ${answers.length} times, executed ${byKey['deposit-81']} time`);
  if (byKey['deposit-81'] !== 1) throw new Error('The order was not executed exactly once.');
}

async function withdrawKey(fleet, caller, key) {
  await fleet.withdrawKey(key);
  const refusal = await testKit.waitFor(
    async () => {
      const answer = await caller.chat(fleet.vm(2), {
        route: 'agent-models',
        text: 'still there?',
      });
      return answer.status === 401 ? testKit.refusalOf(answer) : undefined;
    },
    { what: 'the refusal of the withdrawn key', timeoutMs: WITHDRAWAL_TIMEOUT_MS },
  );
  console.log(`  the withdrawn key is refused: ${refusal.kind}, ${refusal.run}`);
}

async function main() {
  console.log('Starting a platform, four engines, a service and three VMs.');
  const fleet = await testKit.startFleet({
    vms: 3,
    failureDomains: ['quito-norte', 'cumbaya', 'kochi'],
    engines: 4,
    settings: { shutdown: { drainDelayMs: 200 } },
    tables: createTables,
    keys: { 'lentes-norte': ['lk_demo_quito'], 'parish-kochi': ['lk_demo_kerala'] },
  });
  try {
    const quito = new testKit.Caller('lk_demo_quito', 'agent-models');
    const kerala = new testKit.Caller('lk_demo_kerala', 'map-assistant');
    console.log('Quito: a wedding shooter asks for a lens.');
    const program = await runProgram(
      fleet,
      quito,
      'agent-models',
      'Is the 85 mm free on Saturday?',
    );
    await orderOnce(fleet, quito, program);
    console.log('Kerala: a family asks for a plot.');
    await runProgram(fleet, kerala, 'map-assistant', 'Where is plot 212?');
    console.log('Operators withdraw the Quito key.');
    await withdrawKey(fleet, quito, 'lk_demo_quito');
    console.log('Shutting down the VMs.');
    fleet.vms.forEach((vm) => vm.process.kill('SIGTERM'));
    const exits = await Promise.all(fleet.vms.map((vm) => vm.process.exited));
    console.log(`  exit codes: ${exits.map((exit) => exit.code).join(', ')}`);
  } finally {
    await fleet.dispose();
  }
  console.log('Done.');
}

await main();
