/** Program: runs the mesh of a JSON topology file until it is interrupted. */
import { readFile } from 'node:fs/promises';
import { startMesh } from '../launcher.js';
import { parseOptions } from '../options.js';
import type { Topology } from './topology.js';

const { topology } = parseOptions({ topology: undefined });
const mesh = await startMesh(JSON.parse(await readFile(topology, 'utf8')) as Topology);
const hosts = mesh.hosts.map(({ nodeId, instanceId, callUrl, operatorUrl, upstreamUrl }) => ({
  nodeId,
  instanceId,
  callUrl,
  operatorUrl,
  upstreamUrl,
}));
const pids = ['platform', ...hosts.flatMap((host) => [host.nodeId, host.instanceId])].map(
  (id) => mesh.getProcess(id).pid,
);
console.log(JSON.stringify({ platformUrl: mesh.platformUrl, folder: mesh.folder, hosts, pids }));
