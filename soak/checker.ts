/** Invariant checks of the soak: records observations and counts violations, without I/O. */
import type { CallResult } from '../standins/caller.js';
import { ViolationCounts } from './violations.js';

/** Kinds of violations; the soak passes if the count of each is zero. */
export const VIOLATIONS = [
  'runs over once',
  'false not-run answers',
  'truncated or crossed answers',
  'requests cut by a planned stop',
  'version regressions of a process',
  'version regressions of a host',
  'dangling routes',
  'nodes behind at the end',
] as const;

export type Violation = (typeof VIOLATIONS)[number];

/** One request that the soak sent. */
export interface SentCall {
  readonly callId: string;
  /** Shared by all requests of one operation. */
  readonly operationId: string;
  readonly isOnce: boolean;
  /** Node to which the caller sent the request. */
  readonly entryNodeId: string;
  /** Whether planned stops were the only faults from before the call until after its end. */
  readonly isPlannedStopOnly: boolean;
  /** Process with the most recent planned stop. */
  readonly lastStoppedId?: string;
  /** Time from the request to the end of its response, in milliseconds. */
  readonly durationMs?: number;
}

/** Configuration version that a node reported. */
export interface ObservedVersion {
  readonly nodeId: string;
  readonly incarnation: string;
  readonly version: number;
  /** Whether the node was ready to serve with this version. */
  readonly ready: boolean;
}

function describeFailure(call: SentCall, result: CallResult): string {
  if (result.kind === 'answered') return `status ${result.status}`;
  const detail = 'detail' in result ? `: ${result.detail}` : '';
  return `${result.kind} ${result.reason} after ${call.durationMs} ms${detail}`;
}

/** Records calls, runs, versions and routes, and counts violations. */
export class SoakChecker extends ViolationCounts<Violation> {
  readonly #operations = new Map<string, { isOnce: boolean; runs: number; operationId: string }>();

  readonly #operationIds = new Map<string, string>();

  readonly #reportedNotRun = new Set<string>();

  readonly #versionsByProcess = new Map<string, number>();

  readonly #versionsByHost = new Map<string, number>();

  /** Records a call. Must precede the sending, so that every run has a recorded call. */
  recordCall(call: SentCall): void {
    this.#operationIds.set(call.callId, call.operationId);
    const { isOnce, operationId } = call;
    if (!this.#operations.has(operationId)) {
      this.#operations.set(operationId, { isOnce, runs: 0, operationId });
    }
  }

  /** Records the result that the caller received. */
  recordResult(call: SentCall, result: CallResult): void {
    const name = `call ${call.callId} through ${call.entryNodeId}`;
    switch (result.kind) {
      case 'answered':
        if (result.check !== 'whole') {
          this.add('truncated or crossed answers', `${name}: ${result.check}`);
        }
        return;
      case 'notRun':
        this.#reportedNotRun.add(call.callId);
        return;
      case 'unsent':
        return;
      case 'unknown':
      case 'broken':
        if (call.isPlannedStopOnly) {
          const failure = describeFailure(call, result);
          const example = `${name}: ${failure}, stopped ${call.lastStoppedId}`;
          this.add('requests cut by a planned stop', example);
        }
        return;
      default:
        result satisfies never;
    }
  }

  /** Records a run from an upstream's run log; called after the last call has ended. */
  recordRun(callId: string): void {
    if (this.#reportedNotRun.has(callId)) {
      this.add('false not-run answers', `call ${callId} was reported as not run but ran`);
    }
    const operation = this.#operations.get(this.#operationIds.get(callId) ?? '');
    if (operation === undefined) return;
    operation.runs += 1;
    if (operation.isOnce && operation.runs > 1) {
      this.add('runs over once', `operation ${operation.operationId}: run ${operation.runs}`);
    }
  }

  /**
   * Records a version that a node reported; must be called in the order of the requests.
   * `servedBefore` is the host's version at the time of the request.
   */
  recordVersion(
    observed: ObservedVersion,
    servedBefore = this.getHostVersion(observed.nodeId),
  ): void {
    const { nodeId, incarnation, version } = observed;
    const process = `${nodeId} ${incarnation}`;
    const previousVersion = this.#versionsByProcess.get(process) ?? 0;
    if (version < previousVersion) {
      this.add('version regressions of a process', `${process}: ${previousVersion} to ${version}`);
    }
    this.#versionsByProcess.set(process, Math.max(previousVersion, version));
    // A process that has just started may have no version yet, but must not serve an older one.
    if (!observed.ready) return;
    if (version < servedBefore) {
      this.add('version regressions of a host', `${nodeId}: ${servedBefore} to ${version}`);
    }
    this.#versionsByHost.set(nodeId, Math.max(this.getHostVersion(nodeId), version));
  }

  /** Returns the highest version that a host has served. */
  getHostVersion(nodeId: string): number {
    return this.#versionsByHost.get(nodeId) ?? 0;
  }

  /** Records the version in an answer; `before` is the host's version at the start of the call. */
  recordServedVersion(nodeId: string, before: number, version: number): void {
    if (version < before) {
      this.add('version regressions of a host', `${nodeId}: ${before} to ${version} in an answer`);
    }
    this.#versionsByHost.set(nodeId, Math.max(this.getHostVersion(nodeId), version));
  }

  /** Records a route of a node and whether its service exists on that node. */
  recordRoute(nodeId: string, route: string, service: string, isKnown: boolean): void {
    if (!isKnown) this.add('dangling routes', `${nodeId}: ${route} to ${service}`);
  }

  /** Records a planned stop; an exit code other than 0 means that calls were interrupted. */
  recordPlannedStop(processId: string, exitCode: number | null): void {
    if (exitCode === 0) return;
    this.add('requests cut by a planned stop', `${processId} exited with ${exitCode}`);
  }

  /** Records the version of a node after all faults have ended. */
  recordFinalVersion(nodeId: string, version: number, acceptedVersion: number): void {
    if (version === acceptedVersion) return;
    this.add('nodes behind at the end', `${nodeId}: ${version}, accepted ${acceptedVersion}`);
  }
}
