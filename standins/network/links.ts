/**
 * Link delays and cuts (network partitions) between areas. An area is a data centre or the platform
 * and is identified by the second octet of its addresses.
 */

/** Second octet of the platform's addresses. */
export const PLATFORM_AREA = 9;

/** Second octet of the addresses of the first data centre. */
export const FIRST_DATA_CENTRE_AREA = 10;

const LAST_AREA = 99;

/** Name of a link: both areas in ascending order, such as `10-11`. */
export type LinkName = string;

/** Settings that the preload reads from the environment variable `LYCHEELANE_NETWORK`. */
export interface NetworkSettings {
  /** Address of this process and local address of its outgoing connections. */
  readonly self: string;
  /** One-way delay between any two data centres, in milliseconds. */
  readonly oneWayMs: number;
  /** One-way delays by link, in milliseconds, where they differ; 0 to the platform by default. */
  readonly links: Readonly<Record<LinkName, number>>;
  /** Links that are cut at the start. */
  readonly cuts: readonly LinkName[];
}

/** Environment variable with the settings as JSON. */
export const NETWORK_VARIABLE = 'LYCHEELANE_NETWORK';

/** IPC message of the launcher that replaces the set of cuts. */
export interface CutsMessage {
  readonly kind: 'network-cuts';
  readonly sequence: number;
  readonly cuts: readonly LinkName[];
}

/** IPC message to the launcher that confirms the cuts. */
export interface CutsApplied {
  readonly kind: 'network-applied';
  readonly sequence: number;
}

/** Returns the area of an address; undefined for an address outside the topology. */
export function findArea(address: string | undefined): number | undefined {
  const octet = /^127\.(\d{1,2})\.\d{1,3}\.\d{1,3}$/.exec(address ?? '')?.[1];
  if (octet === undefined) return undefined;
  const area = Number(octet);
  return area >= PLATFORM_AREA && area <= LAST_AREA ? area : undefined;
}

/** Returns the name of the link between two areas. */
export function formatLink(first: number, second: number): LinkName {
  return `${Math.min(first, second)}-${Math.max(first, second)}`;
}

/** Returns the one-way delay of a link in milliseconds. */
export function computeOneWayMs(settings: NetworkSettings, first: number, second: number): number {
  if (first === second) return 0;
  const isToPlatform = Math.min(first, second) === PLATFORM_AREA;
  return settings.links[formatLink(first, second)] ?? (isToPlatform ? 0 : settings.oneWayMs);
}

/** Current cuts, with change listeners. */
export class CutTable {
  #cuts: ReadonlySet<LinkName>;

  readonly #listeners = new Set<() => void>();

  constructor(cuts: readonly LinkName[]) {
    this.#cuts = new Set(cuts);
  }

  isCut(link: LinkName): boolean {
    return this.#cuts.has(link);
  }

  setCuts(cuts: readonly LinkName[]): void {
    this.#cuts = new Set(cuts);
    for (const listener of [...this.#listeners]) listener();
  }

  /** Calls the listener on each change; the returned function unsubscribes it. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}
