import type { NodeStatus } from '../../generated/types.js';
import { BaseCommand, NODE_FLAGS } from '../baseCommand.js';
import { formatRefusal } from '../config/formatOutput.js';
import { requestNode } from '../requestNode.js';

/** Fields of `GET /v1/status` that are printed as text. */
interface StatusAnswer {
  readonly nodeId: string;
  readonly dataCentre: string;
  readonly state: string;
  readonly ready: boolean;
  readonly relay: boolean;
  readonly version: number;
  readonly digest: string;
  readonly floor: { readonly version: number };
  readonly refusal: NodeStatus['refusal'];
  readonly instances: readonly { instanceId: string; service: string; state: string }[];
  readonly members: { readonly alive: number; readonly suspect: number; readonly dead: number };
  readonly calls: { readonly inFlight: number; readonly queued: number };
  readonly control: Readonly<Record<string, { messages: number; bytes: number }>>;
  readonly process: { cpuPercent: number; residentBytes: number; uptimeMs: number };
}

const BYTES_PER_MB = 1_000_000;
const MS_PER_SECOND = 1000;
/** Hexadecimal digits of the digest that are printed. */
const DIGEST_PREFIX_LENGTH = 12;

function formatStatus(status: StatusAnswer): string[] {
  const { members, calls, process: usage } = status;
  const controlBytes = Object.values(status.control).reduce((sum, { bytes }) => sum + bytes, 0);
  const digest = status.digest.slice(0, DIGEST_PREFIX_LENGTH);
  const installed = status.version === 0 ? 'none installed' : `${status.version} ${digest}`;
  const rate = controlBytes / Math.max(1, usage.uptimeMs / MS_PER_SECOND);
  const lines = [
    `node         ${status.nodeId} in ${status.dataCentre}${status.relay ? ', relay' : ''}`,
    `state        ${status.state}, ${status.ready ? 'ready' : 'not ready'}`,
    `version      ${installed} (floor ${status.floor.version})`,
    `members      ${members.alive} alive, ${members.suspect} suspect, ${members.dead} dead`,
    `calls        ${calls.inFlight} in flight, ${calls.queued} queued`,
    `control      ${Math.round(rate)} bytes/s since the start`,
    `process      ${usage.cpuPercent.toFixed(1)}% of a core, ` +
      `${Math.round(usage.residentBytes / BYTES_PER_MB)} MB resident`,
  ];
  if (status.refusal) {
    lines.push(`refused      version ${formatRefusal(status.refusal)}`);
  }
  for (const { instanceId, service, state } of status.instances) {
    lines.push(`instance     ${instanceId} of ${service}, ${state}`);
  }
  return lines;
}

/** `lycheelane status` */
export default class Status extends BaseCommand {
  static override summary =
    'Show the state of one node: version, members, calls and control traffic.';

  static override flags = { ...NODE_FLAGS };

  /** Runs the command. */
  async run() {
    const { flags } = await this.parse(Status);
    const status = this.unwrap(await requestNode<StatusAnswer>(flags, '/v1/status'));
    for (const line of formatStatus(status)) this.log(line);
    return status;
  }
}
