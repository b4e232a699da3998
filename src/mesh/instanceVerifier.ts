/**
 * Asks the local instance whether it has left while an earlier process of this node ran. That
 * process may have acknowledged this without being able to store it, and a heartbeat that was sent
 * before may arrive late.
 */
import type { InstanceId } from '../types/ids.js';
import type { PeerAddress } from '../types/interfaces.js';
import { formatHostPort } from '../utils/address.js';
import { ConnectionPool } from './connectionPool.js';
import type { EventLog } from './eventLog.js';
import { getHeader, type HeaderNames } from './headers.js';
import { CONNECT_TIMEOUT_MS } from './instanceClient.js';
import { startInactivityTimer } from './inactivityTimer.js';
import type { LocalInstance } from './localInstance.js';

/** Maximum time without data; a health check may wait for a slot of the instance. */
const RESPONSE_TIMEOUT_MS = 1000;

/** Largest body of a health check that is read, in bytes. */
const MAX_BODY_BYTES = 64 * 1024;

/** Options of the verifier. */
export interface InstanceVerifierOptions {
  readonly instance: LocalInstance;
  readonly getAddress: () => PeerAddress;
  /** Returns the path of the health check; undefined while it is not known. */
  readonly getHealthPath: () => string | undefined;
  readonly names: Pick<HeaderNames, 'instanceId'>;
  readonly log: EventLog;
  /** Called once the instance is ready. */
  readonly onVerified: () => void;
}

export class InstanceVerifier {
  private isAsking = false;

  constructor(private readonly options: InstanceVerifierOptions) {}

  /** Asks the instance if it is unverified. Never rejects. */
  async verify(): Promise<void> {
    const { instance, getHealthPath, log, onVerified } = this.options;
    const state = instance.getState();
    const path = getHealthPath();
    if (state.kind !== 'unverified' || path === undefined || this.isAsking) return;
    this.isAsking = true;
    const { heartbeat } = state;
    const answer = await this.ask(path, heartbeat.instanceId);
    this.isAsking = false;
    log.write('info', 'instance-asked', { instance: heartbeat.instanceId, path, answer });
    if (answer === 'present' && instance.recordVerified(heartbeat)) onVerified();
  }

  /** Returns `present`, or why it is not known whether the instance has left. */
  private async ask(path: string, instanceId: InstanceId): Promise<string> {
    const { getAddress, names } = this.options;
    const address = getAddress();
    const connection = await new ConnectionPool(address).connect(CONNECT_TIMEOUT_MS);
    if (typeof connection === 'string') return connection;
    const stopTimer = startInactivityTimer(connection, 0, RESPONSE_TIMEOUT_MS);
    const headers = ['Host', formatHostPort(address.host, address.port)];
    const request = { method: 'GET', path, headers, body: Buffer.alloc(0) };
    const result = await connection.exchange(request, () => true, { maxBytes: MAX_BODY_BYTES });
    stopTimer();
    connection.abort('asked');
    if (result.kind !== 'response') return result.kind === 'broken' ? result.reason : result.kind;
    const { status, headers: responseHeaders } = result.response;
    if (status !== 200) return `status ${status}`;
    const respondingId = getHeader(responseHeaders, names.instanceId);
    return respondingId === instanceId ? 'present' : `instance ${respondingId}`;
  }
}
