/** True for loopback addresses: 127.0.0.0/8, ::1 and localhost. */
export function isLoopback(host: string): boolean {
  return host === 'localhost' || host === '::1' || /^127(\.\d{1,3}){3}$/.test(host);
}
