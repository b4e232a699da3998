import { isIP, SocketAddress } from 'node:net';

const IPV4_MAPPED_PREFIX = '::ffff:';

/**
 * Returns the canonical text of an IP address (RFC 5952; an IPv4-mapped address as IPv4), so that
 * addresses can be compared. Other text and addresses with a zone are returned unchanged.
 */
export function normalizeAddress(text: string): string {
  if (isIP(text) !== 6 || text.includes('%')) return text;
  const { address } = new SocketAddress({ address: text, family: 'ipv6' });
  const ipv4 = address.slice(IPV4_MAPPED_PREFIX.length);
  return address.startsWith(IPV4_MAPPED_PREFIX) && isIP(ipv4) === 4 ? ipv4 : address;
}

/** True for `localhost`, 127.0.0.0/8 (also as an IPv4-mapped IPv6 address) and ::1. */
export function isLoopback(host: string): boolean {
  const normalized = normalizeAddress(host);
  return (
    normalized === 'localhost' ||
    normalized === '::1' ||
    (isIP(normalized) === 4 && /^127\./.test(normalized))
  );
}

/** True when both strings denote the same address. */
export function isSameAddress(first: string, second: string): boolean {
  return first === second || normalizeAddress(first) === normalizeAddress(second);
}

/** Joins a host and a port; an IPv6 address is enclosed in brackets, as in a URL. */
export function formatHostPort(host: string, port: number): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}
