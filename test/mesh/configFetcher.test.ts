/** Which nodes are asked for configuration changes, what they answer, and what is installed. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { promisify } from 'node:util';
import { deflateRaw, type InputType } from 'node:zlib';
import { buildError } from '../../src/errors.js';
import {
  ConfigAnswers,
  decodeConfigAnswer,
  encodeConfigAnswer,
  type ConfigAnswer,
  type ConfigRequest,
} from '../../src/mesh/configAnswers.js';
import type { ConfigDelta } from '../../src/mesh/configDelta.js';
import { ConfigFetcher, type ConfigSource } from '../../src/mesh/configFetcher.js';
import {
  computeMaxResponseBytes,
  listConfigSources,
  listStartSources,
  type SourceNode,
} from '../../src/mesh/configSources.js';
import { KindPosition } from '../../src/mesh/kindPosition.js';
import { StoreEra } from '../../src/mesh/storeEra.js';
import type { MeshConfig } from '../../src/mesh/model.js';
import { StoreContact } from '../../src/mesh/storeContact.js';
import type { WholeConfig } from '../../src/mesh/wholeConfig.js';
import { brandText, brandVersion, NO_VERSION } from '../../src/types/ids.js';
import { waitMs as wait } from '../../src/utils/backoff.js';

const deflate = promisify<InputType, Buffer>(deflateRaw);

function buildNode(nodeId: string, dataCentre: string, linkMbps: number): SourceNode {
  return { nodeId: brandText(nodeId), dataCentre: brandText(dataCentre), linkMbps };
}

const NODES = [
  buildNode('a-1', 'a', 5),
  buildNode('a-2', 'a', 100),
  buildNode('a-3', 'a', 5),
  buildNode('a-4', 'a', 100),
  buildNode('b-1', 'b', 5),
  buildNode('b-2', 'b', 5),
  buildNode('b-3', 'b', 5),
];

function listNames(own: SourceNode, nodes = NODES): string[] {
  return listConfigSources(own, nodes).map(({ nodeId }) => nodeId);
}

test('the hosts with the fastest links of each data centre are its sources', () => {
  assert.deepEqual(listNames(NODES[0]!), ['a-2', 'a-4']);
  assert.deepEqual(listNames(NODES[6]!), ['b-1', 'b-2']);
  assert.deepEqual(listNames(NODES[1]!), [], 'a source reads from the store');
  assert.deepEqual(listNames(buildNode('c-1', 'c', 5)), ['a-2', 'a-4']);
  assert.deepEqual(listNames(NODES[0]!, []), []);
});

test('a node that starts asks only sources whose links are faster than its own', () => {
  const names = (own: SourceNode) => listStartSources(own, NODES)?.map(({ nodeId }) => nodeId);
  assert.deepEqual(names(NODES[0]!), ['a-2', 'a-4']);
  assert.deepEqual(names(NODES[1]!), [], 'another link is as fast');
  assert.deepEqual(names(NODES[6]!), [], 'no link of the data centre is faster');
  assert.deepEqual(names(buildNode('a-9', 'a', 1000)), []);
});

test('a starting node waits for the list of the nodes only with a link that is slow', () => {
  assert.equal(listStartSources(buildNode('a-9', 'a', 5), undefined), undefined);
  assert.deepEqual(listStartSources(buildNode('a-9', 'a', 1000), undefined), []);
});

test('a response may use a link for 50 ms', () => {
  assert.equal(computeMaxResponseBytes(5), 31_250);
  assert.equal(computeMaxResponseBytes(1000), 6_250_000);
});

const REQUEST: ConfigRequest = {
  version: brandVersion(4),
  revision: 10,
  canConfirm: false,
  waitMs: 60,
};

const DELTA = { fromVersion: 4, toVersion: 5, revision: 12 } as unknown as ConfigDelta;

const WHOLE = { version: 5, revision: 12 } as unknown as WholeConfig;

function createAnswers(installed: { version: number }) {
  const position = new KindPosition();
  const contact = new StoreContact();
  const listeners: (() => void)[] = [];
  const answers = new ConfigAnswers({
    holder: {
      get: () => installed as unknown as MeshConfig,
      onInstall: (listener) => listeners.push(listener as () => void),
    },
    history: {
      findChanges: (version) => (version === 4 && installed.version === 5 ? DELTA : undefined),
      findWhole: () => WHOLE,
    },
    position,
    contact,
  });
  return { answers, position, contact, install: () => listeners.forEach((listener) => listener()) };
}

test('an answer waits for a change, and for nothing else', async () => {
  const installed = { version: 4 };
  const { answers, position, install } = createAnswers(installed);
  const pending = answers.answer({ ...REQUEST, waitMs: 1500 });
  position.recordSynced(30);
  installed.version = 5;
  install();
  assert.deepEqual(await pending, { kind: 'changed', revision: 30, delta: DELTA });
  assert.equal((await answers.answer({ ...REQUEST, version: brandVersion(5) })).kind, 'unchanged');
  assert.equal((await answers.answer({ ...REQUEST, version: brandVersion(3) })).kind, 'unknown');
});

test('a version is confirmed only once the answering node has read past the revision', async () => {
  const { answers, position } = createAnswers({ version: 4 });
  position.recordSynced(10);
  const early = await answers.answer({ ...REQUEST, canConfirm: true });
  assert.deepEqual(early, { kind: 'unchanged', revision: 10 });
  const pending = answers.answer({ ...REQUEST, canConfirm: true, waitMs: 1500 });
  position.recordSynced(11);
  assert.deepEqual(await pending, { kind: 'unchanged', revision: 11 });
});

test('a request of another era gets no revision of this one', async () => {
  const { answers, position } = createAnswers({ version: 4 });
  position.recordSynced(30);
  const answer = await answers.answer({ ...REQUEST, era: 7, canConfirm: true });
  assert.equal(answer.kind, 'unknown');
});

test('a version that the history does not bridge is offered, and sent on demand', async () => {
  const { answers, position } = createAnswers({ version: 5 });
  position.recordSynced(30);
  const request = { ...REQUEST, version: brandVersion(2) };
  assert.deepEqual(await answers.answer(request), { kind: 'unknown', revision: 30, version: 5 });
  const whole = await answers.answer({ ...request, canBeWhole: true });
  assert.deepEqual(whole, { kind: 'whole', revision: 30, whole: WHOLE });
  for (const refused of [{ version: brandVersion(6) }, { era: 7 }]) {
    const answer = await answers.answer({ ...request, canBeWhole: true, ...refused });
    assert.deepEqual(answer, { kind: 'unknown', revision: 30 });
  }
});

test('a node without the store hands over a later version, and confirms none', async () => {
  const installed = { version: 5 };
  const { answers, position, contact, install } = createAnswers(installed);
  position.recordSynced(30);
  const request = { ...REQUEST, canConfirm: true, mustBeCurrent: true, waitMs: 1500 };
  const changed = { kind: 'changed', revision: 30, delta: DELTA };
  assert.deepEqual(await answers.answer(request), changed);
  const lost = { kind: 'unknown', revision: 30, hasLostStore: true };
  assert.deepEqual(await answers.answer({ ...request, version: brandVersion(5) }), lost);
  installed.version = 4;
  contact.recordCall();
  const pending = answers.answer(request);
  installed.version = 5;
  install();
  assert.deepEqual(await pending, changed, 'while its call to the store is under way');
});

test('a node that starts waits for a source that starts', async () => {
  const installed = { version: 0 };
  const { answers, position, install } = createAnswers(installed);
  const pending = answers.answer({ ...REQUEST, version: NO_VERSION, waitMs: 1500 });
  installed.version = 5;
  position.recordSynced(30);
  install();
  assert.deepEqual(await pending, { kind: 'unknown', revision: 30, version: 5 });
});

test('malformed answers are errors', async () => {
  for (const text of [
    '',
    '{',
    'null',
    '{"kind":"changed","revision":1}',
    '{"revision":1}',
    '{"kind":"whole","revision":1}',
    '{"kind":"unknown","revision":1,"version":"2"}',
    '{"kind":"whole","revision":1,"whole":{"version":2,"revision":1,"routeCount":1}}',
  ]) {
    assert.ok((await decodeConfigAnswer(await deflate(text))).isErr(), text);
  }
  assert.ok((await decodeConfigAnswer(Buffer.from('not deflated'))).isErr());
});

test('a thousand added routes take a slow link less than 50 ms', async () => {
  const routes = Array.from({ length: 1000 }, (_, index) => ({
    name: `r-${index * 7919}`,
    host: `host-${index % 7}.example`,
    pathPrefix: `/${(index * 104_729).toString(36)}/`,
    targets: [{ service: 'pads', weight: 1 }],
    isIdempotent: index % 2 === 0,
    timeoutMs: 1500 + index,
    objectiveMs: 500,
    maxAttempts: 2,
    priority: index % 3,
  }));
  const delta = { ...DELTA, routes, removed: [] } as unknown as ConfigDelta;
  const answer: ConfigAnswer = { kind: 'changed', revision: 12, delta };
  const encoded = await encodeConfigAnswer(answer);
  assert.ok(encoded.length < computeMaxResponseBytes(5), `${encoded.length} bytes`);
  assert.deepEqual((await decodeConfigAnswer(encoded))._unsafeUnwrap(), answer);
});

type Source = ConfigSource['requestConfig'];

interface FetcherFixture {
  readonly fetcher: ConfigFetcher;
  readonly installed: number[];
  readonly lines: string[];
}

/** Creates a fetcher of a node with version `version`. */
function createFetcher(
  sources: readonly Source[] | undefined,
  version = 4,
  onInstall: () => void = () => {},
  era = new StoreEra(),
): FetcherFixture {
  const installed: number[] = [];
  const lines: string[] = [];
  const install = (installedVersion: number) => {
    installed.push(installedVersion);
    onInstall();
    return true;
  };
  const listed = sources?.map((requestConfig) => ({ requestConfig }));
  const fetcher = new ConfigFetcher({
    holder: {
      get: () => {
        const current = installed.at(-1) ?? version;
        return current === 0 ? undefined : ({ version: current } as unknown as MeshConfig);
      },
      installDelta: ({ toVersion }) => install(toVersion),
      installWhole: ({ version: wholeVersion }) => install(wholeVersion),
    },
    position: new KindPosition(era),
    log: { write: (_level, event, fields) => lines.push(`${event} ${JSON.stringify(fields)}`) },
    listSources: () => listed ?? [],
    listStartSources: () => listed,
  });
  return { fetcher, installed, lines };
}

async function runFetch(
  sources: readonly Source[],
  canConfirm: boolean,
  onInstall: () => void = () => {},
  era = new StoreEra(),
) {
  const { fetcher, installed } = createFetcher(sources, 4, onInstall, era);
  return { reached: await fetcher.fetch(10, canConfirm), installed };
}

/** Source that returns the given answers in turn, then none. */
function createSource(...answers: ConfigAnswer[]): Source {
  return async () => answers.shift();
}

const CHANGED: ConfigAnswer = { kind: 'changed', revision: 12, delta: DELTA };

test('an answer that arrives after the era has risen is not applied', async () => {
  const era = new StoreEra();
  const source: Source = async () => {
    era.observe(2);
    return CHANGED;
  };
  const { reached, installed } = await runFetch([source], true, undefined, era);
  assert.equal(reached, undefined);
  assert.deepEqual(installed, []);
});

test('a source that is away or behind does not delay the changes of another', async () => {
  const silent: Source = async () => {
    await wait(1000);
    return undefined;
  };
  const startedAtMs = performance.now();
  const { reached, installed } = await runFetch([silent, createSource(CHANGED)], false, () => {
    assert.ok(performance.now() - startedAtMs < 500);
  });
  assert.equal(reached, 12);
  assert.deepEqual(installed, [5]);
});

test('a change that the store has is never confirmed away by a source that lacks it', async () => {
  const behind = createSource({ kind: 'unchanged', revision: 99 });
  assert.equal((await runFetch([behind], false)).reached, undefined);
});

test('without a change a source confirms the version, if it has read far enough', async () => {
  const synced = createSource({ kind: 'unchanged', revision: 11 });
  assert.equal((await runFetch([synced], true)).reached, 11);
  const late = createSource({ kind: 'unchanged', revision: 10 });
  assert.equal((await runFetch([late], true)).reached, undefined);
  assert.equal((await runFetch([], true)).reached, undefined);
});

/** Source without a history: it offers version 5, sends it on demand, and counts that. */
function createRestarted(): { readonly source: Source; countSent(): number } {
  let sent = 0;
  const source: Source = async ({ version, canBeWhole }) => {
    if (version >= 5) return { kind: 'unchanged', revision: 30 };
    if (canBeWhole !== true) return { kind: 'unknown', revision: 30, version: WHOLE.version };
    sent += 1;
    return { kind: 'whole', revision: 12, whole: WHOLE };
  };
  return { source, countSent: () => sent };
}

const SILENT: Source = () => new Promise(() => {});

test('one of two restarted sources sends its version whole', async () => {
  const sources = [createRestarted(), createRestarted()];
  const { reached, installed } = await runFetch(
    sources.map(({ source }) => source),
    false,
  );
  assert.equal(reached, 30);
  assert.deepEqual(installed, [5]);
  const sent = sources.map(({ countSent }) => countSent());
  assert.deepEqual(sent.sort(), [0, 1]);
});

test('a source that is silent does not keep another from sending its version whole', async () => {
  const { source } = createRestarted();
  const { fetcher, installed } = createFetcher([SILENT, source]);
  void fetcher.fetch(10, false);
  while (installed.length === 0) await wait(5);
  assert.deepEqual(installed, [5]);
});

test('changes are preferred to a whole version that is offered sooner', async () => {
  const { source, countSent } = createRestarted();
  const behind: Source = async (request) => {
    await wait(5);
    return request.version === 4 ? CHANGED : undefined;
  };
  assert.deepEqual((await runFetch([source, behind], false)).installed, [5]);
  assert.equal(countSent(), 0);
});

test('a source without a later version is not asked for a whole one', async () => {
  const asked: unknown[] = [];
  const source: Source = async ({ canBeWhole }) => {
    asked.push(canBeWhole);
    return { kind: 'unknown', revision: 30, version: brandVersion(4) };
  };
  assert.equal((await runFetch([source], true)).reached, undefined);
  assert.deepEqual(asked, [undefined]);
});

test('a node that starts gets the first version from a source, even one that starts', async () => {
  const { source } = createRestarted();
  let tries = 0;
  const starting: Source = async (request, onInvalid) => {
    tries += 1;
    return tries < 3 ? undefined : source(request, onInvalid);
  };
  for (const first of [source, starting]) {
    const { fetcher, installed } = createFetcher([first], 0);
    assert.deepEqual(await fetcher.fetchFirst(), { revision: 30, era: 0 });
    assert.deepEqual(installed, [5]);
  }
});

test('a node that starts takes the latest of the versions that its sources have', async () => {
  const { source } = createRestarted();
  const behind: Source = async () => ({ kind: 'unknown', revision: 99, version: brandVersion(4) });
  const late: Source = async (request, onInvalid) => {
    await wait(5);
    return source(request, onInvalid);
  };
  const { fetcher, installed } = createFetcher([behind, late], 0);
  assert.deepEqual(await fetcher.fetchFirst(), { revision: 30, era: 0 });
  assert.deepEqual(installed, [5]);
});

test('a node that starts reads the store when no source answers or no node is known', async () => {
  for (const sources of [[SILENT, SILENT], [async () => undefined], [], undefined]) {
    const { fetcher, installed } = createFetcher(sources, 0);
    assert.equal(await fetcher.fetchFirst(), undefined);
    assert.deepEqual(installed, []);
  }
});

test('a first version of an era that is over is not installed', async () => {
  const era = new StoreEra();
  const { source } = createRestarted();
  const restored: Source = async (request, onInvalid) => {
    if (request.canBeWhole === true) era.observe(2);
    return source(request, onInvalid);
  };
  const { fetcher, installed } = createFetcher([restored], 0, undefined, era);
  assert.equal(await fetcher.fetchFirst(), undefined);
  assert.deepEqual(installed, []);
});

test('an invalid answer of a source is logged with step, peer and reason', async () => {
  const source: Source = async (_request, onInvalid) => {
    onInvalid(buildError('invalid', 'config.decodeAnswer', 'a-2', 'malformed answer'));
    return undefined;
  };
  const { fetcher, lines } = createFetcher([source]);
  await fetcher.fetch(10, false);
  const fields = { step: 'config.decodeAnswer', peer: 'a-2', reason: 'malformed answer' };
  assert.deepEqual(lines, [`config-answer-invalid ${JSON.stringify(fields)}`]);
});
