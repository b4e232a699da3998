/** Interfaces between the subsystems of a node. `core/wiring.ts` connects the implementations. */
import type { Result } from 'neverthrow';
import type { Bundle, MemberRecord, Refusal } from '../generated/types.js';
import type { StepError } from '../errors.js';
import type { ConfigVersion, DataCentre, Digest, NodeId, ServiceName } from './ids.js';
import type { RoutingState } from './routing.js';

/** A stored object of the platform with the version that conditional writes name. */
export interface PlatformObject<Value> {
  readonly name: string;
  readonly version: number;
  readonly value: Value;
}

/** Answer of a watch: the changes since a version, or nothing within the wait. */
export interface WatchAnswer {
  /** Version from which the next watch continues. */
  readonly version: number;
  readonly changes: readonly (PlatformObject<unknown> & { readonly deleted: boolean })[];
}

/**
 * Client of the platform's object API. Names are `<kind>/<name>`.
 * An error of kind `answer-lost` means that a write may have taken effect.
 */
export interface PlatformClient {
  read<Value>(name: string): Promise<Result<PlatformObject<Value> | undefined, StepError>>;
  list<Value>(kind: string): Promise<Result<readonly PlatformObject<Value>[], StepError>>;
  /** Creates the object; error kind `conflict` when it exists. */
  create(name: string, value: unknown): Promise<Result<number, StepError>>;
  /** Updates the object if its version is `expected`; error kind `conflict` otherwise. */
  update(name: string, value: unknown, expected: number): Promise<Result<number, StepError>>;
  remove(name: string, expected: number): Promise<Result<void, StepError>>;
  /** Waits up to `waitMs` for changes of `name` after `from`. */
  watch(
    name: string,
    from: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<WatchAnswer, StepError>>;
  close(): Promise<void>;
}

/** Version and digest that a node has installed. */
export interface VersionTag {
  readonly version: ConfigVersion;
  readonly digest: Digest | '';
}

/** Holds the installed configuration of this node. Versions only rise. */
export interface ConfigStore {
  /** Installed routing state, or undefined before the first install. */
  getRouting(): RoutingState | undefined;
  getTag(): VersionTag;
  getBundle(): Bundle | undefined;
  /** Highest version known to be accepted; a starting node is not ready below it. */
  getFloor(): VersionTag;
  /** Raises the floor to a version that this host enforced before; gates the node at any time. */
  raiseFloor(tag: VersionTag, source: string): void;
  /** Verifies, compiles and swaps. Refuses versions at or below the installed one. */
  install(bundle: Bundle, source: string): Result<VersionTag, StepError>;
  /** True once a version at or above the floor is installed and a floor is known. */
  isReady(): boolean;
  onInstall(listener: (tag: VersionTag) => void): void;
  /** Highest refused version, as long as no version at or above it is installed. */
  getLastRefusal(): Readonly<Refusal> | undefined;
}

/** Verdict of the failure detector about a member. */
export type MemberVerdict = 'alive' | 'suspect' | 'dead';

/** A member as this node sees it. */
export interface MemberView {
  readonly record: MemberRecord;
  readonly verdict: MemberVerdict;
  readonly tag: VersionTag;
  readonly sinceMs: number;
}

/** Read access to the member table, for routing and operators. */
export interface MemberTable {
  getSelf(): MemberRecord;
  getMember(nodeId: NodeId): MemberView | undefined;
  listMembers(): readonly MemberView[];
  listByService(service: ServiceName): readonly MemberView[];
  /** Nodes that currently act as relays of a data centre, best rank first. */
  listRelays(dataCentre: DataCentre): readonly MemberView[];
  isRelay(): boolean;
  /** Changes this node's own record, raises its sequence and spreads the change. */
  updateSelf(change: Partial<Pick<MemberRecord, 'state' | 'instances' | 'refused'>>): void;
  onChange(listener: (member: MemberView) => void): void;
}

/** Sends JSON-RPC requests to peers over one connection per peer. */
export interface PeerClient {
  /** Requests with a timeout; the error carries the method as step and the peer's address. */
  request<Answer>(
    address: PeerAddress,
    method: string,
    params: object,
    timeoutMs: number,
  ): Promise<Result<Answer, StepError>>;
  /** Sends without an answer; dropped when the queue to a slow peer is full. */
  notify(address: PeerAddress, method: string, params: object): void;
  close(): Promise<void>;
}

/** Address of a peer port. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** Control traffic of this process by message type, in bytes including JSON-RPC framing. */
export interface ControlCounters {
  count(direction: 'sent' | 'received', type: string, bytes: number): void;
  snapshot(): Readonly<Record<string, { messages: number; bytes: number }>>;
}
