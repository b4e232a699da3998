import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createLocalDispatcher } from '../../src/core/upstream/dispatcher.js';
import { createInstanceTable } from '../../src/core/upstream/instanceTable.js';
import { createKeyPartitions } from '../../src/core/upstream/keyPartitions.js';
import type { UuidKey } from '../../src/core/upstream/keyVerdict.js';
import { createRequestMemory } from '../../src/core/upstream/requestMemory.js';
import type { AttemptResult } from '../../src/types/calls.js';
import { brandText, type NodeId } from '../../src/types/ids.js';
import type { MemberView } from '../../src/types/interfaces.js';
import { SILENT_LOGGER } from '../../src/utils/logger.js';
import { settle } from '../../standins/memory/clock.js';
import { createFakeClient } from './fakeClient.js';
import {
  buildAnnouncement,
  buildCall,
  buildMember,
  buildRoute,
  buildView,
  createFakeMembers,
  createFakePlatform,
  type PlatformFault,
} from './support.js';

const START_MS = 1_800_000_000_000;
const KEY_COUNT = 60;
/** Key times cover the whole run, so that many lie near the ends of intervals. */
const KEY_STEP_MS = 10_000;

const KEYS: readonly UuidKey[] = Array.from({ length: KEY_COUNT }, (_, index) => {
  const issuedAtMs = START_MS + index * KEY_STEP_MS;
  const hex = issuedAtMs.toString(16).padStart(12, '0');
  const text = `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-${String(index).padStart(12, '0')}`;
  return { kind: 'uuid', text, issuedAtMs };
});

/** Slots of each instance; further calls wait in the queue while the upstream holds these. */
const SLOTS = 3;
const ROUTE = buildRoute({ repeatability: 'once' }, { queueLimit: 10 * KEY_COUNT });
/** Beyond the real time of every run. */
const LONG_MS = 600_000;

/** One process: it can be paused, replaced, and wrongly taken for dead. */
function createProcess(nodeId: string, mesh: ReturnType<typeof createMesh>) {
  const incarnation = `${mesh.nextStart()}-${nodeId}`;
  mesh.views.set(nodeId, buildView(buildMember(nodeId, { incarnation })));
  const partitions = createKeyPartitions({
    platform: mesh.platform.client,
    members: createFakeMembers(nodeId, mesh.views),
    incarnation,
    logger: SILENT_LOGGER,
    now: () => mesh.clock.nowMs + (mesh.skews.get(nodeId) ?? 0),
    random: () => 0,
  });
  const keys = new Map<string, string>();
  const upstream = createFakeClient(({ requestId }) => {
    const text = keys.get(requestId) ?? '';
    mesh.dispatched.set(text, [...(mesh.dispatched.get(text) ?? []), nodeId]);
  });
  const table = createInstanceTable({
    members: { updateSelf: () => {} },
    ...{ ttlMs: LONG_MS, ownHost: '127.0.0.1', logger: SILENT_LOGGER },
  });
  const dispatcher = createLocalDispatcher({
    nodeId: brandText<NodeId>(nodeId),
    ...{ incarnation, table, partitions, logger: SILENT_LOGGER, client: upstream.client },
    store: { getRouting: () => undefined, isReady: () => true },
    memory: createRequestMemory({ maxKeys: 1000, rememberMs: 1e12 }),
  });
  table.record(buildAnnouncement({ instanceId: nodeId, slots: SLOTS }));
  return {
    ...{ nodeId, partitions, dispatcher },
    /** Sends all keys; each is handed over at once, waits for a slot, or is refused. */
    async submitAll(): Promise<void> {
      for (const key of KEYS) {
        const call = buildCall({ route: ROUTE, key }, LONG_MS);
        keys.set(call.requestId, key.text);
        mesh.calls.push(dispatcher.dispatch(call));
      }
      await settle();
    },
    /** Ends the exchanges under way, so that calls in the queue are handed over. */
    async finish(isLost: boolean): Promise<boolean> {
      const open = upstream.listOpen();
      for (const exchange of open) {
        if (isLost) exchange.fail();
        else exchange.answer();
      }
      await settle();
      return open.length > 0;
    },
    async close(): Promise<void> {
      await dispatcher.drain(0);
      table.close();
      await dispatcher.close();
    },
  };
}

function createMesh() {
  const skews = new Map([
    ['a', 0],
    ['b', 3000],
    ['c', -4000],
  ]);
  const platform = createFakePlatform();
  const dispatched = new Map<string, string[]>();
  const views = new Map<string, MemberView>();
  const clock = { nowMs: START_MS };
  const calls: Promise<AttemptResult>[] = [];
  let started = 0;
  const nextStart = () => {
    started += 1;
    return started;
  };
  const advance = (ms: number) => {
    clock.nowMs += ms;
  };
  return { platform, dispatched, views, clock, skews, calls, nextStart, advance };
}

type Mesh = ReturnType<typeof createMesh>;
type Process = ReturnType<typeof createProcess>;

const node = fc.integer({ min: 0, max: 2 });
const fault = fc.constantFrom<PlatformFault>('none', 'none', 'down', 'loseAnswer', 'delayWrite');
const step = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('passes'), faults: fc.array(fault) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('pass'), node, faults: fc.array(fault) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('submitAll'), node }) },
  {
    weight: 8,
    arbitrary: fc.record({ kind: fc.constant('finish'), node, isLost: fc.boolean() }),
  },
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('wait'), seconds: fc.nat(60) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('suspect'), node }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('restart'), node }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('stop'), node, faults: fc.array(fault) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('leave'), node }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('toggleReady'), node }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('applyDelayed') }) },
);
interface Step {
  kind: string;
  node?: number;
  seconds?: number;
  isLost?: boolean;
  faults?: PlatformFault[];
}

async function runStep(mesh: Mesh, processes: Process[], all: Process[], next: Step) {
  const index = next.node ?? 0;
  const process = processes[index];
  assert.ok(process);
  const { nodeId, partitions } = process;
  const faults = [...(next.faults ?? [])];
  mesh.platform.setFaults(() => faults.shift() ?? 'none');
  const view = mesh.views.get(nodeId);
  assert.ok(view);
  switch (next.kind) {
    case 'passes':
      await Promise.all(processes.map((each) => each.partitions.runPass()));
      break;
    case 'pass':
      await partitions.runPass();
      break;
    case 'submitAll':
      // Replaced processes may be paused, not dead: they hand over too.
      for (const each of all) if (each.nodeId === nodeId) await each.submitAll();
      break;
    case 'finish':
      for (const each of all) if (each.nodeId === nodeId) await each.finish(next.isLost === true);
      break;
    case 'wait':
      mesh.advance((next.seconds ?? 0) * 1000);
      break;
    case 'suspect':
      mesh.views.set(nodeId, { ...view, verdict: view.verdict === 'dead' ? 'alive' : 'dead' });
      break;
    case 'restart': {
      const replaced = createProcess(nodeId, mesh);
      all.push(replaced);
      processes.splice(index, 1, replaced);
      break;
    }
    case 'stop':
      await partitions.stop();
      break;
    case 'leave':
      mesh.views.set(nodeId, { ...view, record: { ...view.record, state: 'leaving' } });
      break;
    case 'toggleReady': {
      const instances = view.record.instances.length > 0 ? [] : buildMember(nodeId).instances;
      mesh.views.set(nodeId, { ...view, record: { ...view.record, instances } });
      break;
    }
    case 'applyDelayed':
      mesh.platform.applyDelayed();
      break;
    default:
      assert.fail(next.kind);
  }
}

// Guards against any order of pauses, takeovers and lost answers in which a key runs twice.
test('no key is handed over twice, whatever the order of faults', async () => {
  let handedOver = 0;
  await fc.assert(
    fc.asyncProperty(fc.array(step, { minLength: 10, maxLength: 60 }), async (steps) => {
      const mesh = createMesh();
      const processes = ['a', 'b', 'c'].map((nodeId) => createProcess(nodeId, mesh));
      const all = [...processes];
      for (const next of steps) await runStep(mesh, processes, all, next);
      mesh.platform.setFaults(() => 'none');
      for (const each of all) {
        while (await each.finish(false));
        await each.close();
      }
      // Every call must have ended, and a key that ran was handed over once.
      await Promise.all(mesh.calls);
      for (const [key, by] of mesh.dispatched) assert.equal(by.length, 1, `${key} by ${by}`);
      handedOver += mesh.dispatched.size;
    }),
    { seed: 20261204, numRuns: 300 },
  );
  assert.ok(handedOver > 1000, `the sequences handed over ${handedOver} keys`);
});
