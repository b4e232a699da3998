/* eslint-disable no-underscore-dangle -- these are names of methods of Node.js. */
/**
 * Preload (`node --import`): adds one-way delays and network partitions between the areas of a
 * topology to an unmodified program. Patches the TCP sockets of `node:net`, which `node:http` and
 * `undici` use; connections to addresses outside the topology are not affected.
 */
import { Server, Socket } from 'node:net';
import { scheduleConnect } from './connect.js';
import { DelayedLink } from './delayedLink.js';
import type { InternalSocket, SocketPrototype } from './internals.js';
import {
  CutTable,
  NETWORK_VARIABLE,
  computeOneWayMs,
  findArea,
  formatLink,
  type CutsApplied,
  type CutsMessage,
  type NetworkSettings,
} from './links.js';

const text = process.env[NETWORK_VARIABLE];
const settings = text === undefined ? undefined : (JSON.parse(text) as NetworkSettings);
const ownArea = findArea(settings?.self);

/** Finds the options in the arguments of `connect`; `net.connect` passes them in an array. */
function findOptions(args: readonly unknown[]): Record<string, unknown> | undefined {
  const first = Array.isArray(args[0]) ? (args[0] as unknown[])[0] : args[0];
  if (typeof first === 'object' && first !== null) return first as Record<string, unknown>;
  return undefined;
}

/** Replaces socket methods of the whole process. */
function installNetwork(own: NetworkSettings, area: number): CutTable {
  const cuts = new CutTable(own.cuts);
  const links = new Map<InternalSocket, DelayedLink>();
  const prototype = Socket.prototype as unknown as SocketPrototype;
  const original: SocketPrototype = {
    connect: prototype.connect,
    _writeGeneric: prototype._writeGeneric,
    _final: prototype._final,
    _destroy: prototype._destroy,
  };
  const emit = Server.prototype.emit as (this: Server, ...args: unknown[]) => boolean;

  const attachLink = (socket: InternalSocket, otherArea: number, isReading: boolean) => {
    const name = formatLink(area, otherArea);
    const delayMs = computeOneWayMs(own, area, otherArea);
    links.set(socket, new DelayedLink(socket, original, cuts, name, delayMs, isReading));
    socket.once('close', () => links.delete(socket));
  };

  Object.assign(prototype, {
    connect(this: InternalSocket, ...args: unknown[]) {
      const connect = () => {
        (original.connect as (...list: unknown[]) => unknown).apply(this, args);
      };
      const options = findOptions(args);
      const otherArea = findArea(String(options?.host));
      if (options === undefined || otherArea === undefined) {
        connect();
        return this;
      }
      options.localAddress ??= own.self;
      if (otherArea === area) {
        connect();
        return this;
      }
      const roundTripMs = 2 * computeOneWayMs(own, area, otherArea);
      scheduleConnect(this, cuts, formatLink(area, otherArea), roundTripMs, () => {
        connect();
        attachLink(this, otherArea, false);
      });
      return this;
    },
    _writeGeneric(this: InternalSocket, ...args: Parameters<SocketPrototype['_writeGeneric']>) {
      const link = this.connecting ? undefined : links.get(this);
      if (link === undefined) original._writeGeneric.apply(this, args);
      else link.write(...args);
    },
    _final(this: InternalSocket, ...args: Parameters<SocketPrototype['_final']>) {
      const link = this.connecting ? undefined : links.get(this);
      if (link === undefined) original._final.apply(this, args);
      else link.finish(...args);
    },
    _destroy(this: InternalSocket, ...args: Parameters<SocketPrototype['_destroy']>) {
      const link = links.get(this);
      if (link === undefined) original._destroy.apply(this, args);
      else link.destroy(...args);
    },
  });

  Server.prototype.emit = function emitWithLink(this: Server, ...args: unknown[]) {
    const [event, socket] = args as [unknown, InternalSocket | undefined];
    if (event === 'connection' && socket !== undefined) {
      const otherArea = findArea(socket.remoteAddress);
      if (otherArea !== undefined && otherArea !== area) attachLink(socket, otherArea, true);
    }
    return emit.apply(this, args);
  };
  process.on('exit', () => {
    for (const link of links.values()) link.flush();
  });
  return cuts;
}

/** Applies cuts that the launcher sends; kills this process when the IPC channel closes. */
function handleLauncherMessages(cuts: CutTable | undefined): void {
  if (process.channel === undefined) return;
  process.on('message', (message: Partial<CutsMessage>) => {
    if (message.kind !== 'network-cuts') return;
    cuts?.setCuts(message.cuts ?? []);
    const applied: CutsApplied = { kind: 'network-applied', sequence: message.sequence ?? 0 };
    process.send?.(applied, () => {});
  });
  process.on('disconnect', () => process.kill(process.pid, 'SIGKILL'));
  process.channel.unref();
}

handleLauncherMessages(
  settings === undefined || ownArea === undefined ? undefined : installNetwork(settings, ownArea),
);
