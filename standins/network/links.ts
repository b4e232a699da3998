/** Delay and cuts between areas: the data centres and the platform, told apart by address. */

/** Second octet of the platform's addresses. */
export const PLATFORM_AREA = 9;

/** Second octet of the addresses of the first data centre. */
export const FIRST_DATA_CENTRE_AREA = 10;

const LAST_AREA = 99;

/** Name of a link: both areas in ascending order, such as `10-11`. */
export type LinkName = string;

/** Settings that the preload reads from the environment variable `LYCHEELANE_NETWORK`. */
export interface NetworkSettings {
  /** Address of this process, from which its connections to other areas start. */
  readonly self: string;
  /** One-way delay between any two data centres, in milliseconds. */
  readonly oneWayMs: number;
  /** One-way delays that differ, by link, in milliseconds; 0 to the platform when not named. */
  readonly links: Readonly<Record<LinkName, number>>;
  readonly cuts: readonly LinkName[];
}

/** Environment variable with the settings as JSON. */
export const NETWORK_VARIABLE = 'LYCHEELANE_NETWORK';

/** Message from the launcher that replaces the cuts. */
export interface CutsMessage {
  readonly kind: 'network-cuts';
  readonly sequence: number;
  readonly cuts: readonly LinkName[];
}

/** Message to the launcher after the cuts are in force. */
export interface CutsApplied {
  readonly kind: 'network-applied';
  readonly sequence: number;
}

/** Returns the area of an address; undefined outside the addresses of the topology. */
export function findArea(address: string | undefined): number | undefined {
  const octet = /^127\.(\d{1,2})\.\d{1,3}\.\d{1,3}$/.exec(address ?? '')?.[1];
  if (octet === undefined) return undefined;
  const area = Number(octet);
  return area >= PLATFORM_AREA && area <= LAST_AREA ? area : undefined;
}

/** Names the link between two areas. */
export function formatLink(one: number, other: number): LinkName {
  return `${Math.min(one, other)}-${Math.max(one, other)}`;
}

/** Returns the one-way delay of a link in milliseconds. */
export function computeOneWayMs(settings: NetworkSettings, one: number, other: number): number {
  if (one === other) return 0;
  const isToPlatform = Math.min(one, other) === PLATFORM_AREA;
  return settings.links[formatLink(one, other)] ?? (isToPlatform ? 0 : settings.oneWayMs);
}

/** Cuts in force, with listeners for their changes. */
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

  /** Calls the listener at each change; the returned function ends that. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}
