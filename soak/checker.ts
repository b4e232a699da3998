/** Checks of the soak run: a pure record of what was seen, and the violations in it. */
import type { CallResult } from '../standins/caller.js';
import { ViolationCounts } from './violations.js';

/** Kinds of violations; each must be zero. */
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

/** Name of a kind of violation. */
export type Violation = (typeof VIOLATIONS)[number];

/** One request as the soak run sent it. */
export interface SentCall {
  readonly callId: string;
  /** Same for all sends of one operation. */
  readonly operationId: string;
  readonly isOnce: boolean;
  /** Node that took the call. */
  readonly entryId: string;
  /** True when planned stops were the only faults from before the call to after its end. */
  readonly isCalm: boolean;
  /** Process whose planned stop was the last one. */
  readonly stopped?: string;
  /** Time from the request to the end of its response, in milliseconds. */
  readonly tookMs?: number;
}

/** Version that a node reported. */
export interface SeenVersion {
  readonly nodeId: string;
  readonly incarnation: string;
  readonly version: number;
  /** Whether the node served with it. */
  readonly ready: boolean;
}

function describeFailure(call: SentCall, result: CallResult): string {
  if (result.kind === 'answered') return `status ${result.status}`;
  const detail = 'detail' in result ? `: ${result.detail}` : '';
  return `${result.kind} ${result.reason} after ${call.tookMs} ms${detail}`;
}

/** Records calls, runs, versions and routes, and counts violations. */
export class SoakChecker extends ViolationCounts<Violation> {
  readonly #operations = new Map<string, { isOnce: boolean; runs: number; operationId: string }>();

  readonly #operationOf = new Map<string, string>();

  readonly #toldNotRun = new Set<string>();

  readonly #versionOfProcess = new Map<string, number>();

  readonly #versionOfHost = new Map<string, number>();

  /** Records a call before it is sent, so that a run is never without its call. */
  recordCall(call: SentCall): void {
    this.#operationOf.set(call.callId, call.operationId);
    const { isOnce, operationId } = call;
    if (!this.#operations.has(operationId)) {
      this.#operations.set(operationId, { isOnce, runs: 0, operationId });
    }
  }

  /** Records what the caller got. */
  recordResult(call: SentCall, result: CallResult): void {
    const name = `call ${call.callId} through ${call.entryId}`;
    switch (result.kind) {
      case 'answered':
        if (result.check !== 'whole') {
          this.add('truncated or crossed answers', `${name}: ${result.check}`);
        }
        return;
      case 'notRun':
        this.#toldNotRun.add(call.callId);
        return;
      case 'unsent':
        return;
      case 'unknown':
      case 'broken':
        if (call.isCalm) {
          const what = `${name}: ${describeFailure(call, result)}, stopped ${call.stopped}`;
          this.add('requests cut by a planned stop', what);
        }
        return;
      default:
        result satisfies never;
    }
  }

  /** Records a run from the files of the upstreams, after the last call. */
  recordRun(callId: string): void {
    if (this.#toldNotRun.has(callId)) {
      this.add('false not-run answers', `call ${callId} was told not-run and ran`);
    }
    const operation = this.#operations.get(this.#operationOf.get(callId) ?? '');
    if (operation === undefined) return;
    operation.runs += 1;
    if (operation.isOnce && operation.runs > 1) {
      this.add('runs over once', `operation ${operation.operationId}: run ${operation.runs}`);
    }
  }

  /**
   * Records a version that a node reported, in the order in which it was asked; `servedBefore` is
   * the host's version when it was asked.
   */
  recordVersion(seen: SeenVersion, servedBefore = this.getHostVersion(seen.nodeId)): void {
    const { nodeId, incarnation, version } = seen;
    const process = `${nodeId} ${incarnation}`;
    const ofProcess = this.#versionOfProcess.get(process) ?? 0;
    if (version < ofProcess) {
      this.add('version regressions of a process', `${process}: ${ofProcess} to ${version}`);
    }
    this.#versionOfProcess.set(process, Math.max(ofProcess, version));
    // A process that has just started has no version yet, but must not serve an older one.
    if (!seen.ready) return;
    if (version < servedBefore) {
      this.add('version regressions of a host', `${nodeId}: ${servedBefore} to ${version}`);
    }
    this.#versionOfHost.set(nodeId, Math.max(this.getHostVersion(nodeId), version));
  }

  /** Returns the highest version with which a host has served. */
  getHostVersion(nodeId: string): number {
    return this.#versionOfHost.get(nodeId) ?? 0;
  }

  /** Records the version of an answer; `before` is the host's version when the call began. */
  recordServedVersion(nodeId: string, before: number, version: number): void {
    if (version < before) {
      this.add('version regressions of a host', `${nodeId}: ${before} to ${version} in an answer`);
    }
    this.#versionOfHost.set(nodeId, Math.max(this.getHostVersion(nodeId), version));
  }

  /** Records a route of a node and whether the service that it names exists there. */
  recordRoute(nodeId: string, route: string, service: string, isKnown: boolean): void {
    if (!isKnown) this.add('dangling routes', `${nodeId}: ${route} to ${service}`);
  }

  /** Records a planned stop; an exit code other than 0 means that calls were cut. */
  recordPlannedStop(processId: string, exitCode: number | null): void {
    if (exitCode === 0) return;
    this.add('requests cut by a planned stop', `${processId} exited with ${exitCode}`);
  }

  /** Records the version of a node after the faults have ended. */
  recordFinalVersion(nodeId: string, version: number, accepted: number): void {
    if (version === accepted) return;
    this.add('nodes behind at the end', `${nodeId}: ${version}, accepted ${accepted}`);
  }
}
