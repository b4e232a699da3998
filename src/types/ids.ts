/** Branded identifiers. A plain string must be branded once, where it enters the process. */

declare const brand: unique symbol;

/** Adds a compile-time brand to a base type. */
export type Branded<Base, Name extends string> = Base & { readonly [brand]: Name };

/** Identifier of a node, unique in the mesh; taken from its settings. */
export type NodeId = Branded<string, 'NodeId'>;
/** Identifier of one upstream process, chosen by the upstream. */
export type InstanceId = Branded<string, 'InstanceId'>;
/** Name of a service in the configuration. */
export type ServiceName = Branded<string, 'ServiceName'>;
/** Name of a route in the configuration. */
export type RouteName = Branded<string, 'RouteName'>;
/** Name of a data centre; also the name of its overlay. */
export type DataCentre = Branded<string, 'DataCentre'>;
/** Identifier of one accept operation (UUID). */
export type OperationId = Branded<string, 'OperationId'>;
/** Identifier of one attempt chain of a call, minted by the entry node (UUID). */
export type RequestId = Branded<string, 'RequestId'>;
/** Lower-case hexadecimal SHA-256 over canonical JSON (RFC 8785). */
export type Digest = Branded<string, 'Digest'>;
/** Accepted configuration version; 0 means that none is known. */
export type ConfigVersion = Branded<number, 'ConfigVersion'>;

/** Brands a string that was checked by the caller of this function. */
export function brandText<Id extends Branded<string, string>>(text: string): Id {
  return text as Id;
}

/** Brands a number as a configuration version. */
export function brandVersion(version: number): ConfigVersion {
  return version as ConfigVersion;
}

/** The version of a node that has installed nothing. */
export const NO_VERSION = brandVersion(0);
