/** Types of the mesh: settings, configuration, node records and calls. */
import type { PeerAddress } from '../types/interfaces.js';
import type { LimitState } from './requestLimit.js';
import type { SpillOverPolicy } from './instanceSelection.js';
import type { RetryLimit } from './retryBudget.js';
import type {
  AccountName,
  ConfigVersion,
  DataCentre,
  InstanceId,
  NodeId,
  RouteName,
  ServiceName,
  SoftwareVersion,
} from '../types/ids.js';

/** Bound on the use of keys that were taken away. Times are in milliseconds. */
export interface RevocationPolicy {
  /** Time after its removal was acknowledged from which no new request with a key may run. */
  readonly limitMs: number;
  /** Time within which a configuration is in force on the nodes that reach the store. */
  readonly configLimitMs: number;
}

/** Bound on the requests of an account over all nodes, in any window. */
export interface QuotaPolicy {
  readonly windowMs: number;
  /** Part of the quota of a window by which it may be exceeded. */
  readonly overage: number;
  /** Requests beyond the quota that a window may have besides. */
  readonly slack: number;
}

/** Bounds on the traffic of a version that is being rolled out. */
export interface RolloutPolicy {
  /** Maximum share of the requests of a service that an unproven version gets. */
  readonly maxShare: number;
  /** Requests beyond the share. */
  readonly slack: number;
  /** Time within which a bad version gets no more requests, in milliseconds. */
  readonly rollbackMs: number;
}

/** Settings of one node. Times are in milliseconds. */
export interface MeshSettings {
  readonly nodeId: NodeId;
  readonly dataCentre: DataCentre;
  /** Service of the instance on this host. */
  readonly service: ServiceName;
  readonly instanceAddress: PeerAddress;
  readonly ports: {
    /** Requests from callers on this host and from the local instance. */
    readonly calls: PeerAddress;
    /** Requests from other nodes for the local instance. */
    readonly peers: PeerAddress;
    /** Readiness checks. */
    readonly ready: PeerAddress;
    /** Heartbeats from the local instance. */
    readonly announcements: PeerAddress;
  };
  readonly store: PeerAddress;
  /** Bandwidth of the link of this host. */
  readonly linkMbps: number;
  /** Memory that this process may use. */
  readonly memoryMb: number;
  /** Descriptors that this process may have, of which the platform reserves some. */
  readonly maxFds: number;
  /** Time without progress after which a client's body or unread response is given up. */
  readonly stallMs: number;
  /** Time after which a connection that has gone silent must not hide a change any more. */
  readonly silenceLimitMs: number;
  /** Time between SIGTERM and SIGKILL. */
  readonly stopLimitMs: number;
  /** Limit on requests that reach a service more than once, over all nodes. */
  readonly retryBudget: RetryLimit;
  /** Conditions for sending a request to another data centre. */
  readonly spillOverPolicy: SpillOverPolicy;
  /** Undefined where keys may be used for as long as the version in force holds them. */
  readonly revocation?: RevocationPolicy | undefined;
  /** Undefined where the quotas of accounts are not enforced. */
  readonly quota?: QuotaPolicy | undefined;
  /** Undefined where versions are not rolled out. */
  readonly rollout?: RolloutPolicy | undefined;
}

/** One destination of a route with its weight in the traffic split. */
export interface RouteTarget {
  readonly service: ServiceName;
  readonly weight: number;
}

/** A route: the requests that it matches and how they are handled. */
export interface MeshRoute {
  readonly name: RouteName;
  readonly host: string;
  readonly pathPrefix: string;
  readonly targets: readonly RouteTarget[];
  /** True when a request may be run more than once. */
  readonly isIdempotent: boolean;
  /** Maximum time between a request and its response. */
  readonly timeoutMs: number;
  /** Target latency of a request. */
  readonly objectiveMs: number;
  /** Maximum number of instances that one request may be sent to. */
  readonly maxAttempts: number;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** True when requests need no key of an account; missing means false. */
  readonly allowsAnonymous?: boolean | undefined;
}

/** A client account, whose callers identify themselves with one of its keys. */
export interface ClientAccount {
  readonly name: AccountName;
  /** SHA-256 digests of its keys, in base64url. */
  readonly keyDigests: readonly string[];
  /** Takes precedence over the priority of a route; undefined to keep that. */
  readonly priority?: number | undefined;
  /** Requests per second over all nodes; 0 for no limit. */
  readonly ratePerS: number;
  /** Requests that may come at once; 0 for no limit. */
  readonly burst: number;
}

/** Size limits and timeouts for connections of callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** Path at which the instances of a service answer health checks. */
export interface HealthPath {
  readonly service: ServiceName;
  readonly path: string;
}

/** One version of the configuration. */
export interface MeshConfig {
  readonly version: ConfigVersion;
  /** Routes by host, sorted by descending prefix length. */
  readonly routes: ReadonlyMap<string, readonly MeshRoute[]>;
  readonly limits: CallerLimits;
  /** Undefined if a node of an earlier build has sent the version. */
  readonly healthPaths?: readonly HealthPath[] | undefined;
  /** Without accounts, requests need no key. */
  readonly accounts?: readonly ClientAccount[] | undefined;
}

/** Announcement of an instance to the node on its host. */
export interface Heartbeat {
  readonly instanceId: InstanceId;
  readonly service: ServiceName;
  readonly address: PeerAddress;
  readonly state: 'ready' | 'draining';
  /** Version of the software of the instance; undefined when the heartbeat omits it. */
  readonly version?: SoftwareVersion | undefined;
  readonly slots: number;
  /** Remaining warm-up time, during which the instance is slower than usual. */
  readonly warmupMs: number;
  /** Increases with each heartbeat of the same instance process. */
  readonly sequence: number;
  /** Start time of the instance in Unix milliseconds; 0 when the heartbeat omits it. */
  readonly startedAtMs: number;
}

/** Record that a node publishes about itself and its local instance. */
export interface NodeRecord {
  readonly nodeId: NodeId;
  /** Random identifier of the node process. */
  readonly incarnation: string;
  readonly dataCentre: DataCentre;
  readonly address: PeerAddress;
  readonly service: ServiceName;
  readonly instanceId: InstanceId;
  /** Start time of the instance in Unix milliseconds; records of older builds lack it. */
  readonly startedAtMs?: number | undefined;
  readonly slots: number;
  readonly state: 'ready' | 'leaving';
  /** Bandwidth of the link of the host; records of older builds lack it. */
  readonly linkMbps?: number;
  /** Version of the software of the instance; records of older builds lack it. */
  readonly version?: SoftwareVersion | undefined;
}

/** Load of the local instance of a node. */
export interface InstanceLoad {
  readonly slots: number;
  /** Requests that run on the instance or are queued for it. */
  readonly inFlight: number;
  /** Mean run time of recent requests. */
  readonly meanMs: number;
  /** Failure rate of recent requests, from 0 to 1. */
  readonly failures: number;
  /** Limit on the requests of all nodes that the instance names; undefined without one. */
  readonly limit?: LimitState | undefined;
}

/** An HTTP request to forward. Headers are alternating names and values. */
export interface HttpRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** An HTTP response, read completely. Headers are alternating names and values. */
export interface HttpResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** What the order of waiting requests depends on besides their priority. */
export interface AccountShare {
  readonly name: AccountName;
  /** Weight in the sharing of an instance between accounts. */
  readonly weight: number;
}

/**
 * Metadata sent with each attempt of a call. Fields that end in `AtMs` are on the `performance.now`
 * scale of this process.
 */
export interface CallMetadata {
  /** Identifier of this attempt, unique over all nodes. */
  readonly attemptId: string;
  /** Identifier that the caller assigned to its request, used in logs and to match responses. */
  readonly requestId: string;
  readonly route: RouteName;
  readonly instanceId: InstanceId;
  readonly isIdempotent: boolean;
  readonly priority: number;
  readonly deadlineAtMs: number;
  readonly objectiveAtMs: number;
  /** Undefined for a request without a key. */
  readonly account?: AccountShare | undefined;
  /** Time from which the request may not start any more, since its key may have been removed. */
  readonly authorizedUntilMs?: number | undefined;
  /** True when the instance gets the request only if it has a free slot for it. */
  readonly needsFreeSlot?: boolean | undefined;
}

/** Reasons why a request was not run. */
export type RefusalReason =
  | 'overloaded'
  /** The instance has got the requests that its limit allows. */
  | 'limited'
  | 'deadline'
  /** The request was under way for so long that its caller may have left. */
  | 'delayed'
  /** The node that sent the request did not know the clock by which its age is told. */
  | 'clock-unknown'
  /** The instance has no free slot, and the request was not to wait. */
  | 'busy'
  /** Whether the key of the request is still valid was not known any more when its turn came. */
  | 'unauthorized'
  | 'leaving'
  | 'no-instance'
  | 'unreachable'
  | 'shed'
  | 'mismatch'
  | 'cancelled';

/** Result of running a request on an instance. */
export type RunResult =
  | { readonly kind: 'answered'; readonly response: HttpResponse }
  /** The instance did not run the request and will not run it later. */
  | {
      readonly kind: 'notRun';
      readonly reason: RefusalReason;
      readonly retryAfterMs: number;
      /** True when the request reached the instance and the instance refused it. */
      readonly hasArrived: boolean;
    }
  /** The request may have been run; no response was received. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** Times that one attempt spent at the node of the instance, in milliseconds. */
export interface RunTiming {
  /** Time between the arrival of the request and its start or refusal. */
  readonly queueMs: number;
  /** Time of the exchange with the instance; 0 for a refused request. */
  readonly runMs: number;
  /** Time between the sending of the request and its arrival; undefined if it is not known. */
  readonly transitMs?: number | undefined;
}

/** A result with the load of the instance that the request was sent to. */
export interface RunReport {
  readonly result: RunResult;
  readonly load: InstanceLoad | undefined;
  /** Undefined when the node of the instance did not report it. */
  readonly timing?: RunTiming | undefined;
}
