import { isIP, SocketAddress } from 'node:net';

const MAPPED_PREFIX = '::ffff:';

/**
 * Returns the one text form of an IP address (RFC 5952; an IPv4-mapped address as IPv4), so that
 * addresses can be compared. Other text and addresses with a zone are returned unchanged.
 */
export function normalizeAddress(text: string): string {
  if (isIP(text) !== 6 || text.includes('%')) return text;
  const { address } = new SocketAddress({ address: text, family: 'ipv6' });
  const mapped = address.slice(MAPPED_PREFIX.length);
  return address.startsWith(MAPPED_PREFIX) && isIP(mapped) === 4 ? mapped : address;
}

/** True for `localhost`, 127.0.0.0/8 (also as an IPv4-mapped IPv6 address) and ::1. */
export function isLoopback(host: string): boolean {
  const plain = normalizeAddress(host);
  return plain === 'localhost' || plain === '::1' || (isIP(plain) === 4 && /^127\./.test(plain));
}

/** True when both texts name the same address. */
export function isSameAddress(one: string, other: string): boolean {
  return one === other || normalizeAddress(one) === normalizeAddress(other);
}

/** Joins a host and a port; an IPv6 address gets the brackets that a URL needs. */
export function formatHostPort(host: string, port: number): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}
