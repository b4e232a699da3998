/** Program: compares policies of selection on modelled fleets and prints a table. */
import { playFleet, type Fleet, type Policy } from './model.js';

const POLICIES: readonly Policy[] = [
  { name: 'all compared, own observations' },
  { name: 'all compared, summaries of 2 s', summaryMs: 2000 },
  { name: 'two random of each side', isProduct: true },
  { name: 'product: free slots first', isProduct: true, hasImmediateOffers: true },
  { name: 'two random, summaries of 2 s', isProduct: true, summaryMs: 2000 },
  { name: 'all compared, full knowledge', isOmniscient: true },
];

/** Nodes and data centres of the fleets; three quarters of the nodes run the service. */
const SIZES = [
  [12, 3],
  [85, 4],
  [195, 5],
  [540, 10],
] as const;

const LOADS = [0.6, 0.85, 1.1];

const SERVICE_SHARE = 0.75;

function buildFleet(nodes: number, dataCentres: number, load: number): Fleet {
  return {
    nodes,
    dataCentres,
    instances: Math.round(nodes * SERVICE_SHARE),
    slots: 6,
    meanRunMs: 386,
    objectiveMs: 1088,
    deadlineMs: 6000,
    load,
    durationMs: 15_000,
    seed: 1,
  };
}

function formatShare(share: number): string {
  return (100 * share).toFixed(1).padStart(6);
}

const maxNodes = Number(process.argv[2] ?? 540);
for (const [nodes, dataCentres] of SIZES.filter(([size]) => size <= maxNodes)) {
  for (const load of LOADS) {
    console.log(`\n${nodes} nodes, ${dataCentres} data centres, load ${load}`);
    console.log('in time %  refused %  p99 ms  busiest/mean  offers  policy');
    const fleet = buildFleet(nodes, dataCentres, load);
    for (const policy of POLICIES) {
      const { inTimeShare, refusedShare, p99Ms, busiestToMean, offersPerRequest } = playFleet(
        fleet,
        policy,
      );
      const columns = [
        formatShare(inTimeShare).padEnd(9),
        formatShare(refusedShare).padEnd(9),
        String(Math.round(p99Ms)).padStart(6),
        busiestToMean.toFixed(2).padStart(12),
        offersPerRequest.toFixed(2).padStart(6),
      ];
      console.log(columns.join('  '), ' ', policy.name);
    }
  }
}
