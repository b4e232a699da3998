/** Nodes with the production membership and distribution on in-memory network and platform. */
import { err, ok } from 'neverthrow';
import { buildError } from '../../src/errors.js';
import { createConfigStore, type Compile } from '../../src/core/distribution/store.js';
import { startDistribution } from '../../src/core/distribution/start.js';
import { startMembership } from '../../src/core/membership/start.js';
import type { Bundle, Head, MemberRecord, Sender, Settings } from '../../src/generated/types.js';
import { validateSettings } from '../../src/generated/validators.js';
import type { DataCentre, Digest } from '../../src/types/ids.js';
import { brandVersion } from '../../src/types/ids.js';
import { computeDigest } from '../../src/utils/digest.js';
import { SILENT_LOGGER } from '../../src/utils/logger.js';
import { createMemoryNetwork, type MemoryNetwork } from './memoryNetwork.js';
import { createMemoryPlatform, type MemoryPlatform } from './memoryPlatform.js';

/** Multiplier and modulus of the Park-Miller generator (MINSTD). */
const RANDOM_MULTIPLIER = 48271;
const RANDOM_MODULUS = 2147483647;

const CALL_PORT_OFFSET = 10_000;
const BUNDLE_ROUTES = 20;

/** Returns a generator of uniformly distributed numbers below 1 with a fixed seed. */
export function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * RANDOM_MULTIPLIER) % RANDOM_MODULUS;
    return state / RANDOM_MODULUS;
  };
}

export function buildSettings(port: number, dataCentre: string, seeds: number[] = []): Settings {
  const settings: unknown = {
    nodeId: `node-${port}`,
    dataCentre,
    region: 'region',
    host: '127.0.0.1',
    callPort: port + CALL_PORT_OFFSET,
    peerPort: port,
    announcePort: 0,
    operatorPort: 0,
    platformUrl: 'http://127.0.0.1:1',
    seeds: seeds.map((seed) => ({ host: '127.0.0.1', port: seed })),
  };
  if (!validateSettings(settings)) throw new Error(JSON.stringify(validateSettings.errors));
  return settings as Settings;
}

export function buildRecord(port: number, dataCentre: string, startMs = 1000): MemberRecord {
  return {
    nodeId: `node-${port}`,
    dataCentre,
    region: 'region',
    incarnation: `${startMs}-a`,
    sequence: 0,
    host: '127.0.0.1',
    callPort: port + CALL_PORT_OFFSET,
    peerPort: port,
    state: 'joining',
    instances: [],
  };
}

/** Returns the sender fields of messages from a member. */
export function toSender({ nodeId, incarnation, dataCentre }: MemberRecord): Sender {
  return { nodeId, incarnation, dataCentre };
}

/** Builds a bundle whose content depends on its version and on `variant`. */
export function buildBundle(version: number, variant = 'x'): Bundle {
  const routes = Object.fromEntries(
    Array.from({ length: BUNDLE_ROUTES }, (_, index) => [
      `route-${index}`,
      { service: `pad-${index}` },
    ]),
  );
  const base = { services: { catalogue: { slots: version, variant } }, routes };
  const operationId = `op-${version}-${variant}`;
  const parent = { version: version - 1, digest: '', operationId: '' };
  const digest = computeDigest({ base, overlays: {} });
  return { version, operationId, parent, base, overlays: {}, digest };
}

export function toHead({ version, digest, operationId }: Bundle, previous?: Head): Head {
  const entry = { version, digest, operationId };
  return { ...entry, recent: [entry, ...(previous?.recent ?? [])] };
}

/** Stores a bundle and makes it the head, as `config apply` does. */
export function acceptBundle(platform: MemoryPlatform, bundle: Bundle): void {
  platform.put(`bundles/${bundle.operationId}`, bundle);
  const previous = platform.objects.get('config/head')?.value as Head | undefined;
  platform.put('config/head', toHead(bundle, previous));
}

/** Compiler that accepts every bundle except the variant `bad`. */
export const compileAny: Compile = (bundle, site) => {
  const { catalogue } = bundle.base.services as { catalogue: { variant: string } };
  if (catalogue.variant === 'bad') {
    return err(buildError('invalid', 'compile', site, 'route names an undefined service'));
  }
  const version = brandVersion(bundle.version);
  const digest = bundle.digest as Digest;
  const empty = { routes: new Map(), services: new Map(), matchRoute: () => undefined };
  return ok({ version, digest, site, ...empty });
};

/** Network and platform that the nodes of a test share. */
export interface TestMesh {
  readonly network: MemoryNetwork;
  readonly platform: MemoryPlatform;
}

export type TestNode = ReturnType<typeof startTestNode>;

export function createTestMesh(): TestMesh {
  return { network: createMemoryNetwork(), platform: createMemoryPlatform() };
}

/** Starts membership and distribution of one node on the in-memory network. */
export function startTestNode(
  { network, platform }: TestMesh,
  port: number,
  dataCentre: string,
  seeds: number[],
  startMs = 1000,
  customize: (settings: Settings, self: MemberRecord) => void = () => {},
  hostHeard?: Promise<void>,
  compile: Compile = compileAny,
) {
  const settings = buildSettings(port, dataCentre, seeds);
  const self = { ...buildRecord(port, dataCentre, startMs), state: 'serving' as const };
  customize(settings, self);
  const { peers, dispatcher, counters } = network.addNode(port);
  const random = createRandom(port);
  const logger = SILENT_LOGGER;
  const store = createConfigStore({ site: dataCentre as DataCentre, compile, logger });
  const common = { settings, logger, peers, platform, random };
  const members = startMembership({ ...common, self, getTag: store.getTag });
  dispatcher.setSenderCheck(members.checkSender);
  dispatcher.addMethods(members.methods);
  const distribution = startDistribution({
    ...common,
    members,
    store,
    upstreamAnnounced: hostHeard,
  });
  dispatcher.addMethods(distribution.methods);
  return {
    port,
    store,
    members,
    peers,
    dispatcher,
    counters,
    stop: async () => {
      network.removeNode(port);
      await Promise.all([members.stop(), distribution.stop()]);
    },
  };
}

/** Returns the installed configuration version of a node. */
export const getVersion = ({ store }: TestNode) => Number(store.getTag().version);
