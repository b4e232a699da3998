/** Constructs and connects the parts of a node that report to a coordinator or act as one. */
import type { NodeId } from '../../types/ids.js';
import type { Directory } from '../directory.js';
import type { EventLog } from '../eventLog.js';
import type { MeshMetrics } from '../meshMetrics.js';
import type { MeshConfig, MeshSettings } from '../model.js';
import { QuotaClient } from '../quotas/client.js';
import { hasLimit, Ledger } from '../quotas/ledger.js';
import { listQuotaSamples } from '../quotas/quotaSamples.js';
import { SuspensionDetector } from '../suspensionDetector.js';
import { Coordinator } from './coordinator.js';
import { CoordinatorChoice } from './coordinatorChoice.js';
import type { DirectiveListener, RolloutSource } from './model.js';
import { ReportLoop } from './reportLoop.js';
import type { ReportAnswers } from './reportRequests.js';

/** Time for which the list of known nodes is used; reports come up to 4,000 times a second. */
const KNOWN_NODES_MS = 1000;

export interface CoordinationOptions {
  readonly getSettings: () => MeshSettings;
  readonly getConfig: () => MeshConfig | undefined;
  readonly processId: string;
  readonly directory: Pick<Directory, 'listResponding' | 'listReadyIds'>;
  readonly hasReceivedList: () => boolean;
  readonly isStopping: () => boolean;
  readonly detector?: Pick<SuspensionDetector, 'count'> | undefined;
  readonly log: EventLog;
  readonly metrics: MeshMetrics;
  /** Undefined where versions are not rolled out. */
  readonly rollouts?: RolloutSource | undefined;
  readonly directives?: DirectiveListener | undefined;
}

/** The parts of a node that other parts use. */
export interface Coordination {
  /** Decides whether requests of accounts may run. */
  readonly quotas: QuotaClient;
  readonly reportAnswers: ReportAnswers;
  /** Returns the time until the coordinator counts this node, in milliseconds; 0 if it does. */
  getUncountedMs(): number;
  /** Applies an installed configuration. */
  applyConfig(config: MeshConfig): void;
  /** Applies changed settings. */
  reload(): void;
  close(): void;
}

/**
 * Returns a function that lists the known nodes; the same list until they have changed. What is
 * known before the list of the store is not kept: with it, a coordinator that has just started
 * would take each of its first nodes for all of the mesh.
 */
function createNodeList({
  directory,
  hasReceivedList,
}: Pick<CoordinationOptions, 'directory' | 'hasReceivedList'>): () => NodeId[] {
  let list: NodeId[] = [];
  let listedAtMs = -Infinity;
  return () => {
    const nowMs = performance.now();
    if (nowMs - listedAtMs < KNOWN_NODES_MS) return list;
    if (hasReceivedList()) listedAtMs = nowMs;
    const current = directory.listReadyIds();
    const isSame =
      current.length === list.length && current.every((nodeId, index) => nodeId === list[index]);
    if (!isSame) list = current;
    return list;
  };
}

/** Returns a function that answers reports as coordinator. */
function createAnswer(
  ledger: Ledger,
  coordinator: Coordinator,
  detector: Pick<SuspensionDetector, 'count'>,
): ReportAnswers['coordinator']['answer'] {
  let suspensions = detector.count();
  return (report, nowMs, ageMs) => {
    const current = detector.count();
    // The nodes that were counted may have changed to another coordinator meanwhile.
    if (current !== suspensions) ledger.reset();
    suspensions = current;
    return coordinator.answer(report, nowMs, ageMs);
  };
}

/** Returns true when the configuration and the settings need a coordinator. */
function isCoordinatorNeeded({
  getConfig,
  getSettings,
}: Pick<CoordinationOptions, 'getConfig' | 'getSettings'>): boolean {
  const config = getConfig();
  if (!config) return false;
  const { rollout, quota } = getSettings();
  return rollout !== undefined || (quota !== undefined && config.accounts?.some(hasLimit) === true);
}

function createReportLoop(
  options: CoordinationOptions,
  choice: CoordinatorChoice,
  client: QuotaClient,
  answer: ReportAnswers['coordinator']['answer'],
): ReportLoop {
  const { getSettings, directory, hasReceivedList, log, metrics } = options;
  return new ReportLoop({
    ownId: getSettings().nodeId,
    process: options.processId,
    isEnabled: () => isCoordinatorNeeded(options),
    isReady: hasReceivedList,
    listTargets: () =>
      directory.listResponding(performance.now()).map(({ record, calls }) => ({
        nodeId: record.nodeId,
        linkMbps: record.linkMbps,
        calls,
      })),
    choice,
    client,
    answerOwn: (report, nowMs) => answer(report, nowMs, 0),
    directives: options.directives,
    log,
    metrics,
  });
}

/** Constructs the parts. Nothing is sent before `applyConfig`. */
export function createCoordination(options: CoordinationOptions): Coordination {
  const { getSettings, getConfig, hasReceivedList, isStopping, log, metrics } = options;
  const { detector = new SuspensionDetector() } = options;
  const getPolicy = () => getSettings().quota;
  const choice = new CoordinatorChoice(getSettings().nodeId, () => getPolicy()?.windowMs);
  const ledger = new Ledger({
    getPolicy,
    listKnownNodes: createNodeList(options),
  });
  const coordinator = new Coordinator({ tokens: ledger, rollouts: options.rollouts, log, metrics });
  const quotas = new QuotaClient({
    isEnforced: () => getPolicy() !== undefined,
    countSuspensions: () => detector.count(),
    log,
  });
  metrics.registerSource(() => listQuotaSamples(ledger, quotas));
  const answer = createAnswer(ledger, coordinator, detector);
  const loop = createReportLoop(options, choice, quotas, answer);
  return {
    quotas,
    reportAnswers: {
      coordinator: { answer },
      isAnswering: () => !isStopping() && hasReceivedList() && getConfig() !== undefined,
    },
    getUncountedMs: () => choice.getUncountedMs(performance.now()),
    applyConfig({ accounts = [] }) {
      ledger.applyAccounts(accounts, performance.now());
      quotas.applyAccounts(accounts);
      loop.update();
    },
    reload() {
      loop.update();
    },
    close() {
      loop.close();
      quotas.close();
      coordinator.close();
    },
  };
}
