import { isIP } from 'node:net';

/** True for `localhost`, 127.0.0.0/8 (also as an IPv4-mapped IPv6 address) and ::1. */
export function isLoopback(host: string): boolean {
  const plain = host.startsWith('::ffff:') ? host.slice(7) : host;
  return plain === 'localhost' || plain === '::1' || (isIP(plain) === 4 && /^127\./.test(plain));
}
