/** Binding of servers to their addresses. */
import type { AddressInfo, Server } from 'node:net';
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../errors.js';
import { formatHostPort } from './address.js';
import type { Logger } from './logger.js';

/** Where a server listens; `step` names the port in errors and logs. */
export interface ListenOptions {
  readonly host: string;
  /** 0 picks a free port. */
  readonly port: number;
  readonly step: string;
  readonly logger: Pick<Logger, 'warn'>;
}

/**
 * Binds a server and returns its port. Later errors of the server, such as a connection that cannot
 * be accepted for want of file descriptors, are logged. Errors: kind `unavailable` when the address
 * cannot be bound.
 */
export async function listen(
  server: Server,
  { host, port, step, logger }: ListenOptions,
): Promise<Result<number, StepError>> {
  const failure = await new Promise<Error | undefined>((resolve) => {
    server.once('error', resolve);
    server.listen(port, host, () => {
      server.off('error', resolve);
      resolve(undefined);
    });
  });
  if (failure) {
    return err(
      buildError('unavailable', step, formatHostPort(host, port), failure.message, failure),
    );
  }
  server.on('error', ({ message: reason }) => {
    logger.warn('server-failed', { step, peer: 'self', reason });
  });
  return ok((server.address() as AddressInfo).port);
}
