/** Random failures: in no window do more requests run than the policy allows. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createRandom } from '../../../standins/random.js';
import { buildAccount, computeBound, createArrivals, QuotaMesh, type Ask } from './quotaMesh.js';

const NODES = [0, 1, 2, 3, 4, 5];

/** Time before the first fault, in which the buckets fill and the nodes may bridge. */
const CALM_START_MS = 7000;

const FAULT = fc.record({
  afterMs: fc.integer({ min: 50, max: 2500 }),
  kind: fc.constantFrom('kill', 'start', 'cut', 'heal', 'restart all'),
  node: fc.constantFrom(...NODES, 0, 0, 1),
  /** True when a burst of requests comes just before and after the fault. */
  hasBurst: fc.boolean(),
});

type Fault = typeof FAULT extends fc.Arbitrary<infer Value> ? Value : never;

function applyFault(mesh: QuotaMesh, { kind, node }: Fault): void {
  if (kind === 'kill') mesh.kill(node);
  if (kind === 'start') mesh.start(node);
  if (kind === 'cut') mesh.cut(node, 1);
  if (kind === 'heal') for (const healed of NODES) mesh.cut(healed, 0);
  if (kind !== 'restart all') return;
  for (const restarted of NODES) {
    mesh.kill(restarted);
    mesh.start(restarted);
  }
}

const HOT = buildAccount('hot', 40, 40);
const BURSTY = buildAccount('bursty', 20, 100);
const TINY = buildAccount('tiny', 2, 1);
const CALM = buildAccount('calm', 60, 60);
const BURST = 150;
const ACCOUNTS = [HOT, BURSTY, TINY, CALM];

const OVERLOADS: readonly (readonly [typeof HOT, perS: number])[] = [
  [HOT, 600],
  [TINY, 30],
  [CALM, 30],
];

function askBurst(mesh: QuotaMesh, node: number, random: () => number): void {
  for (let count = 0; count < BURST; count += 1) {
    mesh.ask(count % 2 === 0 ? node : Math.floor(random() * NODES.length), BURSTY);
  }
}

/**
 * True for requests that no change of a coordinator is near to. Nodes that a coordinator does not
 * count yet use its tokens as well, so the change of one node concerns the others.
 */
function isUndisturbed({ atMs }: Ask, { changes }: QuotaMesh): boolean {
  return !changes.some((change) => change.atMs > atMs - 1100 && change.atMs < atMs + 1300);
}

test('no window holds more runs than the policy allows, whatever fails', async (context) => {
  const property = fc.asyncProperty(
    fc.integer({ min: 1, max: 1_000_000 }),
    fc.array(FAULT, { maxLength: 8 }),
    async (seed, faults) => {
      context.mock.timers.enable({ apis: ['setTimeout', 'Date'] });
      const mesh = new QuotaMesh(context.mock.timers, NODES.length, ACCOUNTS);
      const random = createRandom(seed);
      const arrivals = OVERLOADS.map(([account, perS]) =>
        createArrivals(mesh, account, perS, NODES, random),
      );
      const onTick = (tickMs: number) => {
        for (const arrive of arrivals) arrive(tickMs);
        const recent = mesh.asks[mesh.asks.length - 1 - Math.floor(random() * 10)];
        if (recent && random() < 0.03) mesh.returnToken(recent);
      };
      try {
        await mesh.run(CALM_START_MS, onTick);
        for (const fault of faults) {
          if (fault.hasBurst) askBurst(mesh, fault.node, random);
          await mesh.run(20, onTick);
          applyFault(mesh, fault);
          await mesh.run(fault.afterMs, onTick);
          if (fault.hasBurst) askBurst(mesh, fault.node, random);
        }
        await mesh.run(3000, onTick);
        for (const account of ACCOUNTS) {
          const most = mesh.countMaxRuns(account.name);
          const bound = computeBound(account);
          assert.ok(most <= bound, `${account.name} ran ${most} of ${bound}`);
        }
        const calm = mesh.measureGranted('calm', (ask) => isUndisturbed(ask, mesh));
        assert.ok(calm >= 0.95, `the calm account got ${calm}`);
      } finally {
        mesh.close();
        context.mock.timers.reset();
      }
    },
  );
  await fc.assert(property, { numRuns: 40, seed: 20261206, endOnFailure: true });
});
