/** Serves heartbeats and deregistrations of the local instance. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { PeerAddress } from '../types/interfaces.js';
import type { InstanceId, ServiceName } from '../types/ids.js';
import type { EventLog } from './eventLog.js';
import type { LocalInstance } from './localInstance.js';
import type { Heartbeat } from './model.js';
import { readBody } from './readBody.js';

const MAX_MESSAGE_BYTES = 64 * 1024;

/**
 * Maximum wait for the store before a leaving instance gets its response. The instance gets no new
 * request in either case, since its node is the only path to it.
 */
const PUBLISH_TIMEOUT_MS = 600;

/** A decoded message of an instance. */
export type Announcement =
  | { readonly kind: 'heartbeat'; readonly heartbeat: Heartbeat }
  | {
      readonly kind: 'deregister';
      readonly instanceId: InstanceId;
      readonly startedAtMs: number;
    }
  | { readonly kind: 'invalid'; readonly reason: string };

/** Options of the port. */
export interface AnnouncementOptions {
  readonly instance: LocalInstance;
  readonly log: EventLog;
  /** Decodes a message from the format of the platform. */
  readonly decode: (path: string, body: Buffer) => Announcement;
  readonly getExpectedInstance: () => {
    readonly address: PeerAddress;
    readonly service: ServiceName;
  };
  /** Called after each change; resolves when the change is stored. */
  readonly onChange: () => Promise<void>;
  /** Called after a heartbeat that leaves open whether the instance has left. */
  readonly onUnverified?: () => void;
}

/** Creates the server of the port. The caller binds it. */
export function createAnnouncementPort(options: AnnouncementOptions): Server {
  const { instance, log, decode, getExpectedInstance, onChange, onUnverified } = options;

  const publish = async (): Promise<void> => {
    let timer: NodeJS.Timeout | undefined;
    const limit = new Promise<void>((resolve) => {
      timer = setTimeout(resolve, PUBLISH_TIMEOUT_MS);
    });
    await Promise.race([onChange(), limit]);
    clearTimeout(timer);
  };

  const apply = async (announcement: Announcement): Promise<number> => {
    switch (announcement.kind) {
      case 'invalid':
        log.write('warn', 'announcement-invalid', { reason: announcement.reason });
        return 400;
      case 'deregister': {
        const { instanceId, startedAtMs } = announcement;
        const isApplied = instance.deregister(instanceId, startedAtMs, Date.now());
        log.write('info', 'instance-deregistered', { instance: instanceId, isApplied });
        if (isApplied) await publish();
        return 200;
      }
      case 'heartbeat': {
        const { heartbeat } = announcement;
        const { address, service } = getExpectedInstance();
        const isForeign =
          heartbeat.address.host !== address.host ||
          heartbeat.address.port !== address.port ||
          heartbeat.service !== service;
        if (isForeign) {
          log.write('warn', 'announcement-foreign', { instance: heartbeat.instanceId });
          return 400;
        }
        const outcome = instance.applyHeartbeat(heartbeat);
        if (outcome === 'stale') {
          log.write('info', 'announcement-stale', {
            instance: heartbeat.instanceId,
            sequence: heartbeat.sequence,
          });
        }
        if (instance.getState().kind === 'unverified') onUnverified?.();
        if (outcome !== 'changed') return 200;
        log.write('info', 'instance-changed', {
          instance: heartbeat.instanceId,
          state: heartbeat.state,
          slots: heartbeat.slots,
          warmupMs: heartbeat.warmupMs,
          sequence: heartbeat.sequence,
          startedAtMs: heartbeat.startedAtMs,
        });
        if (heartbeat.state === 'draining') await publish();
        else void onChange();
        return 200;
      }
      default:
        throw new Error(`unknown announcement ${JSON.stringify(announcement satisfies never)}`);
    }
  };

  const serve = async (message: IncomingMessage, response: ServerResponse): Promise<void> => {
    const body = await readBody(message, MAX_MESSAGE_BYTES);
    if (typeof body === 'string') {
      response.writeHead(body === 'too-large' ? 413 : 400).end();
      return;
    }
    const status = await apply(decode(message.url ?? '/', body));
    response.writeHead(status, { 'Content-Type': 'application/json' });
    response.end('{}');
  };

  return createServer({ keepAlive: true, noDelay: true }, (message, response) => {
    void serve(message, response);
  });
}
