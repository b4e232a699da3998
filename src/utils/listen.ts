/** Binding of servers to addresses. */
import type { AddressInfo, Server } from 'node:net';
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../errors.js';
import { formatHostPort } from './address.js';
import type { Logger } from './logger.js';

/** Address to listen on; `step` identifies the server in errors and logs. */
export interface ListenOptions {
  readonly host: string;
  /** 0 selects a free port. */
  readonly port: number;
  readonly step: string;
  readonly logger: Pick<Logger, 'warn'>;
}

/**
 * Binds a server and returns its port. Later server errors, such as a connection that cannot be
 * accepted because no file descriptors are available, are logged. Errors: kind `unavailable` when
 * the address cannot be bound.
 */
export async function listen(
  server: Server,
  { host, port, step, logger }: ListenOptions,
): Promise<Result<number, StepError>> {
  const bindError = await new Promise<Error | undefined>((resolve) => {
    server.once('error', resolve);
    server.listen(port, host, () => {
      server.off('error', resolve);
      resolve(undefined);
    });
  });
  if (bindError) {
    return err(
      buildError('unavailable', step, formatHostPort(host, port), bindError.message, bindError),
    );
  }
  server.on('error', ({ message: reason }) => {
    logger.warn('server-failed', { step, peer: 'self', reason });
  });
  return ok((server.address() as AddressInfo).port);
}
