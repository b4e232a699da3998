/** Interfaces between the subsystems of a node. `core/wiring.ts` connects their implementations. */
import type { Result } from 'neverthrow';
import type { Bundle, MemberRecord, Refusal } from '../generated/types.js';
import type { StepError } from '../errors.js';
import type { ConfigVersion, DataCentre, Digest, NodeId, ServiceName } from './ids.js';
import type { RoutingState } from './routing.js';

/** An object stored by the platform, with the version used for conditional writes. */
export interface PlatformObject<Value> {
  readonly name: string;
  readonly version: number;
  readonly value: Value;
}

/** Response to a watch: the changes since a version, empty when the wait time expired. */
export interface WatchResponse {
  /** Version to pass as `from` to the next watch. */
  readonly version: number;
  readonly changes: readonly (PlatformObject<unknown> & { readonly deleted: boolean })[];
}

/**
 * Client of the platform's object API. Names are `<kind>/<name>`.
 * After an error of kind `answer-lost`, a write may have taken effect.
 */
export interface PlatformClient {
  read<Value>(name: string): Promise<Result<PlatformObject<Value> | undefined, StepError>>;
  list<Value>(kind: string): Promise<Result<readonly PlatformObject<Value>[], StepError>>;
  /** Creates the object; fails with kind `conflict` if it exists. */
  create(name: string, value: unknown): Promise<Result<number, StepError>>;
  /** Updates the object if its version is `expected`; fails with kind `conflict` otherwise. */
  update(name: string, value: unknown, expected: number): Promise<Result<number, StepError>>;
  remove(name: string, expected: number): Promise<Result<void, StepError>>;
  /** Waits up to `waitMs` for changes of `name` after version `from`. */
  watch(
    name: string,
    from: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<WatchResponse, StepError>>;
  close(): Promise<void>;
}

/** Version and digest that identify a configuration. */
export interface VersionTag {
  readonly version: ConfigVersion;
  readonly digest: Digest | '';
}

/** Holds the installed configuration of this node. Versions never decrease. */
export interface ConfigStore {
  /** Installed routing state, or undefined before the first install. */
  getRouting(): RoutingState | undefined;
  getTag(): VersionTag;
  getBundle(): Bundle | undefined;
  /** Highest version known to be accepted; the node is not ready below it when it starts. */
  getFloor(): VersionTag;
  /**
   * Raises the floor to a version that this host enforced before. Unlike other floors, it makes the
   * node not ready even after it has been ready.
   */
  raiseFloor(tag: VersionTag, source: string): void;
  /**
   * Verifies and compiles a bundle and replaces the installed configuration. Refuses versions at or
   * below the installed one.
   */
  install(bundle: Bundle, source: string): Result<VersionTag, StepError>;
  /** Returns true once a floor is known and a version at or above it is installed. */
  isReady(): boolean;
  onInstall(listener: (tag: VersionTag) => void): void;
  /** Highest refused version; undefined once a version at or above it is installed. */
  getLastRefusal(): Readonly<Refusal> | undefined;
}

/** Verdict of the failure detector about a member. */
export type MemberVerdict = 'alive' | 'suspect' | 'dead';

/** This node's view of a member. */
export interface MemberView {
  readonly record: MemberRecord;
  readonly verdict: MemberVerdict;
  readonly tag: VersionTag;
  /**
   * Start of the current verdict in Unix milliseconds. For suspects it is reset when this process
   * was paused or its clock was changed.
   */
  readonly sinceMs: number;
}

/** Member table, for routing and operators; only this node's own record can be changed. */
export interface MemberTable {
  getSelf(): MemberRecord;
  getMember(nodeId: NodeId): MemberView | undefined;
  listMembers(): readonly MemberView[];
  listByService(service: ServiceName): readonly MemberView[];
  /** Lists the current relays of a data centre, best rank first. */
  listRelays(dataCentre: DataCentre): readonly MemberView[];
  isRelay(): boolean;
  /** Changes this node's own record, increments its sequence and propagates the change. */
  updateSelf(change: Partial<Pick<MemberRecord, 'state' | 'instances' | 'refused'>>): void;
  onChange(listener: (member: MemberView) => void): void;
}

/** Sends JSON-RPC requests to peers over one connection per peer. */
export interface PeerClient {
  /** Sends a request; errors have the method as `step` and the peer's address as `peer`. */
  request<RpcResult>(
    address: PeerAddress,
    method: string,
    params: object,
    timeoutMs: number,
  ): Promise<Result<RpcResult, StepError>>;
  /** Sends a notification; it is dropped when the send queue of a slow peer is full. */
  notify(address: PeerAddress, method: string, params: object): void;
  close(): Promise<void>;
}

/** Host and port of a TCP endpoint. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** Counts control messages and their bytes, including JSON-RPC framing, by message type. */
export interface ControlCounters {
  count(direction: 'sent' | 'received', type: string, bytes: number): void;
  snapshot(): Readonly<Record<string, { messages: number; bytes: number }>>;
}
