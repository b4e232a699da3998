import { BaseCommand, NODE_FLAGS } from '../baseCommand.js';
import { fetchNodes } from '../fetchNodes.js';
import { formatRefusal } from '../config/formatOutput.js';
import { formatTable } from '../formatTable.js';

const HEADER = ['NODE', 'DATA CENTRE', 'STATE', 'VERDICT', 'READY', 'VERSION', 'REFUSED'];

/** `lycheelane nodes` */
export default class Nodes extends BaseCommand {
  static override summary = 'List all nodes with the configuration version that each enforces.';

  static override flags = { ...NODE_FLAGS };

  /** Runs the command. */
  async run() {
    const { flags } = await this.parse(Nodes);
    const answer = this.unwrap(await fetchNodes(flags));
    const rows = answer.nodes.map((node) => [
      node.nodeId,
      node.dataCentre,
      node.state,
      node.verdict,
      node.ready ? 'yes' : 'no',
      String(node.version),
      node.refusal ? formatRefusal(node.refusal) : '-',
    ]);
    this.log(formatTable(HEADER, rows));
    for (const { name, reachable, sinceMs } of answer.dataCentres) {
      if (!reachable) {
        const since = sinceMs === null ? '' : ` since ${new Date(sinceMs).toISOString()}`;
        this.log(`data centre ${name} is unreachable${since}`);
      }
    }
    return answer;
  }
}
