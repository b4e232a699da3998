/** Rates of control messages of the relays and of the other nodes. */
import { sumTraffic, type LargeMesh, type Traffic } from '../../standins/memory/largeMesh.js';
import type { TestNode } from '../../standins/memory/nodes.js';

const TYPES = ['ping', 'ping.answer', 'members.', 'config.'];

function renderRow(
  name: string,
  nodes: readonly TestNode[],
  getTraffic: (node: TestNode) => Traffic,
  seconds: number,
): string {
  const all = nodes.map(getTraffic);
  const totals = all.map((traffic) => sumTraffic(traffic) / seconds);
  const computeMean = (rates: readonly number[]) =>
    rates.reduce((sum, rate) => sum + rate, 0) / Math.max(1, rates.length);
  const isType = (type: string) =>
    type.endsWith('.') ? new RegExp(` ${type}`) : new RegExp(` ${type}$`);
  const byType = TYPES.map((type) =>
    computeMean(all.map((traffic) => sumTraffic(traffic, isType(type)) / seconds)),
  );
  const cells = [nodes.length, computeMean(totals), Math.max(...totals), ...byType];
  return `| ${[name, ...cells.map((cell) => cell.toFixed(0))].join(' | ')} |`;
}

/** Renders bytes per second, sent and received, of relays and of the other nodes. */
export function renderTraffic(
  { nodes }: LargeMesh,
  getTraffic: (node: TestNode) => Traffic,
  seconds: number,
): string {
  const relays = nodes.filter(({ members }) => members.isRelay());
  const others = nodes.filter(({ members }) => !members.isRelay());
  return [
    `| B/s | nodes | mean | largest | ${TYPES.join(' | ')} |`,
    `| --- |${' ---: |'.repeat(TYPES.length + 3)}`,
    renderRow('relays', relays, getTraffic, seconds),
    renderRow('other nodes', others, getTraffic, seconds),
  ].join('\n');
}
