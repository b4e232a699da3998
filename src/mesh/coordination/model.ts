/**
 * Messages between a node and the coordinator of its mesh, and the parts that answer them. A node
 * reports what it needs and what its instance has run; the coordinator answers with quota tokens
 * and with the state of the rollouts.
 */
import type {
  AccountName,
  InstanceId,
  NodeId,
  RouteName,
  ServiceName,
  SoftwareVersion,
} from '../../types/ids.js';

/** A number of quota tokens of an account. */
export interface AccountTokens {
  readonly account: AccountName;
  readonly tokens: number;
}

/** Tokens that a node may use for `lifeMs`, or the time after which it may ask again. */
export interface TokenGrant extends AccountTokens {
  readonly lifeMs: number;
  /** Time until the account has a token again; 0 if the need was met. */
  readonly retryAfterMs: number;
}

/** Runs of an instance on one route since its start. */
export interface RouteRuns {
  readonly route: RouteName;
  readonly runs: number;
  /** Runs that ended with a 5xx or without a response. */
  readonly failures: number;
  /** Numbers of runs by run time: bucket `i` holds times from 2^(i/4) ms on. */
  readonly times: readonly number[];
}

/** Cumulative runs of the local instance of a node. */
export interface InstanceRuns {
  readonly service: ServiceName;
  readonly version: SoftwareVersion;
  readonly instanceId: InstanceId;
  readonly routes: readonly RouteRuns[];
}

/** Report of a node to the coordinator. */
export interface CoordinatorReport {
  readonly node: NodeId;
  /** Identifier of the process of the node. */
  readonly process: string;
  /**
   * Time since the node has reported to this coordinator and no other one. A node that alternates
   * between two coordinators would otherwise be counted by both.
   */
  readonly steadyMs: number;
  /** True when the node may bring its part of the allowed excess to a new coordinator. */
  readonly mayBridge: boolean;
  readonly needs: readonly AccountTokens[];
  readonly returns: readonly AccountTokens[];
  /** Tokens of this coordinator that the node has not used; it has used the others. */
  readonly holds: readonly AccountTokens[];
  /** Present only while the coordinator has named a rollout of the service of the instance. */
  readonly runs?: InstanceRuns | undefined;
}

/** State of a rollout for the nodes that send requests to its service. */
export type RolloutState = 'running' | 'promoting' | 'completed' | 'rolled_back';

/** What a coordinator tells the nodes about one rollout. */
export interface RolloutDirective {
  readonly service: ServiceName;
  readonly targetVersion: SoftwareVersion;
  readonly state: RolloutState;
  /** Share of the requests of the service for the target version while it is running. */
  readonly share: number;
}

/** Answer of the coordinator to a report. */
export interface CoordinatorAnswer {
  readonly grants: readonly TokenGrant[];
  readonly rollouts: readonly RolloutDirective[];
}

/** The part of a coordinator that answers needs for quota tokens. */
export interface TokenSource {
  /** `ageMs` is the time since the report was sent; undefined if it is not known. */
  answerNeeds(report: CoordinatorReport, nowMs: number, ageMs?: number): readonly TokenGrant[];
}

/** The part of a coordinator that knows the rollouts. */
export interface RolloutSource {
  recordReport(report: CoordinatorReport, nowMs: number): void;
  listDirectives(nowMs: number): readonly RolloutDirective[];
  /** Called when reports begin or stop to arrive: rollouts are watched only in between. */
  setActive(isActive: boolean): void;
}

/** The part of a node that follows the directives of the coordinator. */
export interface DirectiveListener {
  applyDirectives(directives: readonly RolloutDirective[], nowMs: number): void;
  /** Returns the runs of the local instance if a rollout of its service is known. */
  collectRuns(): InstanceRuns | undefined;
}
