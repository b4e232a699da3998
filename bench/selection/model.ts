/**
 * Model of a fleet whose nodes choose instances with what they know of their load: the decision
 * code of the product without a network, on a played clock. Times are in milliseconds.
 */
import { AdmissionQueue, type AdmissionItem } from '../../src/mesh/admission.js';
import { BusyShares } from '../../src/mesh/busyShares.js';
import { ImmediateOffers } from '../../src/mesh/immediateOffers.js';
import {
  chooseInstance,
  findCheapest,
  type Candidate,
  type SelectionRequest,
} from '../../src/mesh/instanceSelection.js';
import type { InstanceLoad } from '../../src/mesh/model.js';
import { RequestLimit } from '../../src/mesh/requestLimit.js';
import { brandText, type InstanceId, type ServiceName } from '../../src/types/ids.js';
import { createRandom, Timeline } from './timeline.js';

/** What a node does to know and to choose. */
export interface Policy {
  readonly name: string;
  /** Interval of load summaries of the own data centre, if there are any. */
  readonly summaryMs?: number;
  /** True when summaries cover all data centres. */
  readonly isGlobal?: boolean;
  /** True when the present load of all instances is known. */
  readonly isOmniscient?: boolean;
  /** True for the selection of the product; otherwise all instances are compared. */
  readonly isProduct?: boolean;
  /** True when calls are offered to instances with a free slot first. */
  readonly hasImmediateOffers?: boolean;
}

/** A fleet and its load. */
export interface Fleet {
  readonly nodes: number;
  readonly dataCentres: number;
  /** Instances of the service; they run beside the first nodes. */
  readonly instances: number;
  readonly slots: number;
  readonly meanRunMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  /** Load as a share of the capacity. */
  readonly load: number;
  readonly durationMs: number;
  readonly seed: number;
}

/** What callers got. */
export interface Outcome {
  readonly asked: number;
  readonly inTimeShare: number;
  readonly refusedShare: number;
  readonly p99Ms: number;
  /** Work of the busiest instance over the mean, weighted by speed. */
  readonly busiestToMean: number;
  /** Offers for each request. */
  readonly offersPerRequest: number;
}

/** Speeds of instances, in turn. */
const SPEEDS = [0.5, 1, 1, 1.5];

/** Age after which a load report counts as outdated, as in `PeerNode`. */
const MAX_LOAD_AGE_MS = 3000;

const MAX_OFFERS = 4;

/** Share of the objective that another data centre costs. */
const SPILL_OVER_POLICY = { waitShare: 0.5, spillRank: 99 };

const HOP_MS = 1;

const SERVICE: ServiceName = brandText('service');

const MEAN_WEIGHT = 0.05;

const INITIAL_MEAN_MS = 100;

/** Time from the start on that is not counted. */
const WARM_UP_MS = 5000;

interface Item extends AdmissionItem {
  readonly finish: (isAnswered: boolean) => void;
}

class Instance {
  readonly queue: AdmissionQueue<Item>;

  meanMs = INITIAL_MEAN_MS;

  workMs = 0;

  constructor(
    readonly index: number,
    readonly dataCentre: number,
    readonly speed: number,
    readonly slots: number,
  ) {
    this.queue = new AdmissionQueue<Item>(slots, new RequestLimit());
  }

  getLoad(): InstanceLoad {
    const inFlight = this.queue.countRunning() + this.queue.countQueued();
    return { slots: this.slots, inFlight, meanMs: this.meanMs, failures: 0 };
  }
}

/** What a node knows of an instance. */
interface Knowledge {
  load: InstanceLoad | undefined;
  loadAtMs: number;
  outstanding: number;
  outstandingAtLoad: number;
  fullUntilMs: number;
}

interface ModelCandidate extends Candidate {
  readonly instance: Instance;
  readonly knowledge: Knowledge;
  readonly peer: { readonly record: { readonly instanceId: InstanceId } };
}

/** Progress of one request. */
interface Attempt {
  readonly node: number;
  readonly startedAtMs: number;
  readonly offers: ImmediateOffers;
  readonly tried: Set<Instance>;
}

function computeQuantile(sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

/** Plays one policy. */
export function playFleet(fleet: Fleet, policy: Policy): Outcome {
  const timeline = new Timeline();
  const random = createRandom(fleet.seed);
  const limit = fleet.slots;
  const instances = Array.from(
    { length: fleet.instances },
    (_, index) =>
      new Instance(index, index % fleet.dataCentres, SPEEDS[(index * 7) % SPEEDS.length]!, limit),
  );
  const known: Knowledge[][] = Array.from({ length: fleet.nodes }, () =>
    instances.map(() => ({
      load: undefined,
      loadAtMs: -Infinity,
      outstanding: 0,
      outstandingAtLoad: 0,
      fullUntilMs: -Infinity,
    })),
  );
  const busyShares = Array.from({ length: fleet.nodes }, () => new BusyShares(random));
  const latencies: number[] = [];
  let sent = 0;
  let offered = 0;
  let asked = 0;
  let inTime = 0;
  let refused = 0;

  const drawRunMs = (speed: number) => {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    const tail = random() < 0.01 ? 5 : 1;
    return (fleet.meanRunMs / speed) * Math.exp(0.4 * normal - 0.08) * tail;
  };

  const start = (instance: Instance, item: Item): void => {
    const runMs = drawRunMs(instance.speed);
    timeline.add(runMs, () => {
      const target = instance;
      target.workMs += timeline.nowMs > WARM_UP_MS ? runMs : 0;
      target.meanMs += (runMs - target.meanMs) * MEAN_WEIGHT;
      target.queue.releaseSlot();
      item.finish(true);
      const next = target.queue.dequeue(timeline.nowMs);
      if (next) start(target, next);
    });
  };

  const getKnownLoad = (knowledge: Knowledge, instance: Instance): InstanceLoad | undefined => {
    if (policy.isOmniscient) return instance.getLoad();
    const { load, loadAtMs } = knowledge;
    if (!load) return undefined;
    return timeline.nowMs - loadAtMs < MAX_LOAD_AGE_MS ? load : { ...load, inFlight: 0 };
  };

  const listCandidates = (node: number): ModelCandidate[] => {
    const candidates: ModelCandidate[] = [];
    for (const [index, instance] of instances.entries()) {
      const knowledge = known[node]![index]!;
      const load = getKnownLoad(knowledge, instance);
      candidates.push({
        instance,
        knowledge,
        peer: { record: { instanceId: brandText(String(index)) } },
        isSameDataCentre: instance.dataCentre === node % fleet.dataCentres,
        slots: instance.slots,
        outstanding: knowledge.outstanding,
        outstandingAtLoad: policy.isOmniscient
          ? knowledge.outstanding
          : knowledge.outstandingAtLoad,
        load,
        isUnreachable: false,
        isFull: timeline.nowMs < knowledge.fullUntilMs,
      });
    }
    return candidates;
  };

  const request: SelectionRequest = {
    objectiveMs: fleet.objectiveMs,
    priority: 1,
    canExplore: true,
  };

  const choose = (
    candidates: readonly ModelCandidate[],
    { tried }: Attempt,
  ): ModelCandidate | undefined => {
    const wasTried = ({ instance }: ModelCandidate) => tried.has(instance);
    if (policy.isProduct) {
      return chooseInstance(candidates, request, SPILL_OVER_POLICY, wasTried, random);
    }
    const allowed = candidates.filter((item) => !item.isFull && !wasTried(item));
    const spillOverMs = fleet.objectiveMs * SPILL_OVER_POLICY.waitShare;
    return findCheapest(allowed, spillOverMs, INITIAL_MEAN_MS, random);
  };

  const offer = (attempt: Attempt): void => {
    const { node, startedAtMs, offers, tried } = attempt;
    const candidates = listCandidates(node);
    const isImmediate =
      policy.hasImmediateOffers === true &&
      offers.isNext(candidates) &&
      (offers.countRefused() > 0 || busyShares[node]!.canOffer(SERVICE));
    if (!isImmediate && offers.hasRefusedAll()) busyShares[node]!.record(SERVICE, true);
    if (!isImmediate) offers.end();
    const listed = isImmediate
      ? offers.listUnasked(candidates)
      : offers.listForWaiting(candidates, (item) => !item.isFull && !tried.has(item.instance));
    const chosen = choose(listed, attempt);
    const isCounted = startedAtMs >= WARM_UP_MS;
    if (!chosen || tried.size >= MAX_OFFERS) {
      if (isCounted) refused += 1;
      return;
    }
    const { instance, knowledge, peer } = chosen;
    if (!isImmediate) tried.add(instance);
    sent += 1;
    knowledge.outstanding += 1;
    const receive = (isAnswered: boolean) => {
      if (isImmediate && isAnswered) busyShares[node]!.record(SERVICE, false);
      knowledge.outstanding -= 1;
      knowledge.load = instance.getLoad();
      knowledge.loadAtMs = timeline.nowMs;
      knowledge.outstandingAtLoad = knowledge.outstanding;
      if (!isAnswered) {
        if (isImmediate) offers.recordBusy(peer.record.instanceId);
        else knowledge.fullUntilMs = timeline.nowMs + 100;
        offer(attempt);
        return;
      }
      if (!isCounted) return;
      const latencyMs = timeline.nowMs - startedAtMs;
      latencies.push(latencyMs);
      if (latencyMs <= fleet.objectiveMs) inTime += 1;
    };
    timeline.add(HOP_MS, () => {
      const item: Item = {
        priority: 1,
        expectedRunMs: instance.meanMs,
        objectiveAtMs: startedAtMs + fleet.objectiveMs,
        deadlineAtMs: startedAtMs + fleet.deadlineMs,
        finish: (isAnswered) => timeline.add(HOP_MS, () => receive(isAnswered)),
      };
      if (isImmediate && instance.queue.assess(item, timeline.nowMs).kind !== 'start') {
        item.finish(false);
        return;
      }
      const decision = instance.queue.admit(item, timeline.nowMs);
      if (decision.kind === 'start') start(instance, item);
      else if (decision.kind === 'refused') item.finish(false);
    });
  };

  const summarize = (): void => {
    const loads = instances.map((instance) => instance.getLoad());
    for (const [node, ofNode] of known.entries()) {
      for (const [index, instance] of instances.entries()) {
        if (!policy.isGlobal && instance.dataCentre !== node % fleet.dataCentres) continue;
        const knowledge = ofNode[index]!;
        knowledge.load = loads[index];
        knowledge.loadAtMs = timeline.nowMs;
        knowledge.outstandingAtLoad = knowledge.outstanding;
      }
    }
    if (timeline.nowMs < fleet.durationMs) timeline.add(policy.summaryMs!, summarize);
  };

  const expire = (): void => {
    for (const { queue } of instances) {
      for (const item of queue.removeExpired(timeline.nowMs)) item.finish(false);
    }
    if (timeline.nowMs < fleet.durationMs + fleet.deadlineMs) timeline.add(40, expire);
  };

  const capacityPerMs =
    (instances.reduce((sum, { speed }) => sum + speed, 0) * fleet.slots) / fleet.meanRunMs;
  const arrive = (): void => {
    if (timeline.nowMs >= fleet.durationMs) return;
    if (timeline.nowMs >= WARM_UP_MS) asked += 1;
    offered += 1;
    offer({
      node: Math.floor(random() * fleet.nodes),
      startedAtMs: timeline.nowMs,
      offers: new ImmediateOffers(),
      tried: new Set(),
    });
    timeline.add(-Math.log(1 - random()) / (capacityPerMs * fleet.load), arrive);
  };
  timeline.add(0, arrive);
  timeline.add(40, expire);
  if (policy.summaryMs !== undefined) timeline.add(policy.summaryMs, summarize);
  timeline.play();

  latencies.sort((one, other) => one - other);
  const work = instances.map(({ workMs }) => workMs);
  const meanWork = work.reduce((sum, value) => sum + value, 0) / work.length;
  return {
    asked,
    inTimeShare: inTime / asked,
    refusedShare: refused / asked,
    p99Ms: computeQuantile(latencies, 0.99),
    busiestToMean: Math.max(...work) / meanWork,
    offersPerRequest: sent / offered,
  };
}
