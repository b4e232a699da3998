import { Args } from '@oclif/core';
import type { RouteExplanation } from '../../core/calls/explain.js';
import { BaseCommand, NODE_FLAGS } from '../baseCommand.js';
import { formatTable } from '../formatTable.js';
import { requestNode } from '../requestNode.js';

/** `lycheelane explain ROUTE` */
export default class Explain extends BaseCommand {
  static override summary =
    'Show which node would be chosen for a call of a route, and why others would not.';

  static override args = {
    route: Args.string({ description: 'name of the route', required: true }),
  };

  static override flags = { ...NODE_FLAGS };

  /** Runs the command. */
  async run() {
    const { args, flags } = await this.parse(Explain);
    const path = `/v1/explain?route=${encodeURIComponent(args.route)}`;
    const explained = this.unwrap(await requestNode<RouteExplanation>(flags, path));
    this.log(
      `route ${explained.route} of version ${explained.version}, service ${explained.service}`,
    );
    if (explained.chosen === undefined) {
      this.log('no node can accept the call, so it would not be run');
    }
    if (explained.spillOver) {
      this.log(`calls spill over to other data centres: ${explained.spillOver}`);
    }
    if (explained.nodes.length === 0) {
      this.log(`no node has an instance of service ${explained.service}`);
      return explained;
    }
    const rows = explained.nodes.map((node) => [
      node.nodeId,
      node.dataCentre,
      node.instances.join(','),
      node.reason,
      node.score?.toFixed(3) ?? '-',
    ]);
    this.log(formatTable(['NODE', 'DATA CENTRE', 'INSTANCES', 'REASON', 'LOAD'], rows));
    return explained;
  }
}
