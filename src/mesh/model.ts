/** Types of the mesh: settings, configuration, nodes of other hosts and calls. */
import type { PeerAddress } from '../types/interfaces.js';
import type { DistancePolicy } from './placing.js';
import type { RepeatLimit } from './repeats.js';
import type {
  ConfigVersion,
  DataCentre,
  InstanceId,
  NodeId,
  RouteName,
  ServiceName,
} from '../types/ids.js';

/** Settings of one node. Times are in milliseconds. */
export interface MeshSettings {
  readonly nodeId: NodeId;
  readonly dataCentre: DataCentre;
  /** Service whose instance runs on this host. */
  readonly service: ServiceName;
  readonly instanceAddress: PeerAddress;
  readonly ports: {
    /** Requests of the callers on this host and of the local instance. */
    readonly calls: PeerAddress;
    /** Requests of other nodes for the local instance. */
    readonly peers: PeerAddress;
    /** Readiness checks. */
    readonly ready: PeerAddress;
    /** Heartbeats of the local instance. */
    readonly announcements: PeerAddress;
  };
  readonly store: PeerAddress;
  /** Time between SIGTERM and SIGKILL. */
  readonly stopLimitMs: number;
  /** Limit of repeated arrivals at a service, over all nodes. */
  readonly repeats: RepeatLimit;
  /** When a request may go to another data centre. */
  readonly distance: DistancePolicy;
}

/** One destination of a route with its share of the requests. */
export interface RouteTarget {
  readonly service: ServiceName;
  readonly weight: number;
}

/** A route: which requests it matches and how they are handled. */
export interface MeshRoute {
  readonly name: RouteName;
  readonly host: string;
  readonly pathPrefix: string;
  readonly targets: readonly RouteTarget[];
  /** True when a request may run more than once. */
  readonly isRepeatable: boolean;
  /** Longest time between a request and its response. */
  readonly timeoutMs: number;
  /** Latency objective. */
  readonly objectiveMs: number;
  /** Largest number of instances that one request may be sent to. */
  readonly maxAttempts: number;
  /** 0 is the most important. */
  readonly rank: number;
}

/** What a caller may send, and how long a connection may stay idle. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface MeshConfig {
  readonly version: ConfigVersion;
  /** Routes by host, longest prefix first. */
  readonly routes: ReadonlyMap<string, readonly MeshRoute[]>;
  readonly limits: CallerLimits;
}

/** A heartbeat of an instance. */
export interface Heartbeat {
  readonly instanceId: InstanceId;
  readonly service: ServiceName;
  readonly address: PeerAddress;
  readonly state: 'ready' | 'draining';
  readonly slots: number;
  /** How much longer the instance stays slow after its start. */
  readonly warmupMs: number;
  /** Rises with each heartbeat of one start. */
  readonly sequence: number;
  /** Start of the instance in Unix milliseconds; 0 when it does not say. */
  readonly startedAtMs: number;
}

/** What a node publishes about itself and the instance beside it. */
export interface NodeRecord {
  readonly nodeId: NodeId;
  /** Random identifier of the process. */
  readonly incarnation: string;
  readonly dataCentre: DataCentre;
  readonly address: PeerAddress;
  readonly service: ServiceName;
  readonly instanceId: InstanceId;
  readonly slots: number;
  readonly state: 'ready' | 'leaving';
}

/** Load of the instance beside a node. */
export interface InstanceLoad {
  readonly slots: number;
  /** Requests at the instance or waiting for it. */
  readonly inFlight: number;
  /** Mean run time of recent requests in milliseconds. */
  readonly meanMs: number;
  /** Share of recent requests that failed, from 0 to 1. */
  readonly failures: number;
}

/** An HTTP request as it is passed on: headers as alternating names and values. */
export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** An HTTP response that was read completely. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** How a request is to be run. Instants are on the `performance.now` scale of this process. */
export interface CallTerms {
  /** Identifier of this send, unique over all nodes. */
  readonly callId: string;
  /** Identifier that the caller gave its request, for logs and to match responses. */
  readonly requestId: string;
  readonly route: RouteName;
  readonly instanceId: InstanceId;
  readonly isRepeatable: boolean;
  readonly rank: number;
  readonly deadlineAtMs: number;
  readonly objectiveAtMs: number;
}

/** Why an instance did not run a request. */
export type RefusalReason =
  | 'overloaded'
  | 'deadline'
  | 'leaving'
  | 'no-instance'
  | 'unreachable'
  | 'shed'
  | 'mismatch'
  | 'cancelled';

/** How the run of a request ended. */
export type RunResult =
  | { readonly kind: 'answered'; readonly response: HttpResponse }
  /** The instance did not run the request and never will. */
  | {
      readonly kind: 'notRun';
      readonly reason: RefusalReason;
      readonly retryAfterMs: number;
      /** True when the request reached the instance, which refused it. */
      readonly hasArrived: boolean;
    }
  /** The request may have run; its response is lost. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** A run result with the load of the instance that gave it. */
export interface RunReport {
  readonly result: RunResult;
  readonly load: InstanceLoad | undefined;
}
