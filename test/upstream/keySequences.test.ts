import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createKeyPartitions } from '../../src/core/upstream/keyPartitions.js';
import type { UuidKey } from '../../src/core/upstream/keyVerdict.js';
import { createRequestMemory, type MemoryKey } from '../../src/core/upstream/requestMemory.js';
import type { MemberView } from '../../src/types/interfaces.js';
import { SILENT_LOGGER } from '../../src/utils/logger.js';
import {
  buildMember,
  buildView,
  createFakeMembers,
  createFakePlatform,
  SERVICE,
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
  const memory = createRequestMemory({ maxKeys: 1000, rememberMs: 1e12 });
  const pending: UuidKey[] = [];
  return { nodeId, partitions, memory, pending };
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
  let started = 0;
  const nextStart = () => {
    started += 1;
    return started;
  };
  const advance = (ms: number) => {
    clock.nowMs += ms;
  };
  return { platform, dispatched, views, clock, skews, nextStart, advance };
}

type Mesh = ReturnType<typeof createMesh>;
type Process = ReturnType<typeof createProcess>;

/** The hand-over as the dispatcher does it: memory, ownership, reservation, in one step. */
function handOver(mesh: Mesh, process: Process, key: UuidKey): void {
  const { text, issuedAtMs: timeMs } = key;
  const memoryKey: MemoryKey = { text, timeMs, isRepeatable: true, fingerprint: '' };
  if (process.memory.find(memoryKey).kind !== 'new') return;
  if (process.partitions.takeKey(SERVICE, key).kind !== 'allowed') return;
  process.memory.add(memoryKey)?.settle({ kind: 'handedOver', detail: '' });
  const by = mesh.dispatched.get(text) ?? [];
  mesh.dispatched.set(text, [...by, process.nodeId]);
}

const node = fc.integer({ min: 0, max: 2 });
const fault = fc.constantFrom<PlatformFault>('none', 'none', 'down', 'loseAnswer', 'delayWrite');
const step = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('passes'), faults: fc.array(fault) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('pass'), node, faults: fc.array(fault) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('submitAll'), node }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('checkAll'), node }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('handOverChecked'), node }) },
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
  faults?: PlatformFault[];
}

async function runStep(mesh: Mesh, processes: Process[], all: Process[], next: Step) {
  const index = next.node ?? 0;
  const process = processes[index];
  assert.ok(process);
  const { nodeId, partitions, pending } = process;
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
      for (const each of all) {
        if (each.nodeId !== nodeId) continue;
        for (const key of KEYS) handOver(mesh, each, key);
      }
      break;
    case 'checkAll':
      for (const key of KEYS) {
        const verdict = await partitions.checkKey(SERVICE, key);
        if (verdict.kind === 'allowed') pending.push(key);
      }
      break;
    case 'handOverChecked':
      for (const key of pending.splice(0)) handOver(mesh, process, key);
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
      for (const [key, by] of mesh.dispatched) assert.equal(by.length, 1, `${key} by ${by}`);
      handedOver += mesh.dispatched.size;
    }),
    { seed: 20261204, numRuns: 300 },
  );
  assert.ok(handedOver > 1000, `the sequences handed over ${handedOver} keys`);
});
