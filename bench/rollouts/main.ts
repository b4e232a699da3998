/** Program: compares the decisions on modelled rollouts and prints a table. */
import { createRandom } from '../selection/timeline.js';
import { playRollout, type Method, type Scenario, type Service } from './model.js';

const SCENARIOS: readonly Scenario[] = [
  { name: 'good', isBad: false, failureShare: 0, slowFactor: 1 },
  { name: 'fails 5 %', isBad: true, failureShare: 0.05, slowFactor: 1 },
  { name: 'fails 10 %', isBad: true, failureShare: 0.1, slowFactor: 1 },
  { name: 'fails 30 %', isBad: true, failureShare: 0.3, slowFactor: 1 },
  { name: '2 times slower', isBad: true, failureShare: 0, slowFactor: 2 },
  { name: '3 times slower', isBad: true, failureShare: 0, slowFactor: 3 },
  { name: '5 times slower', isBad: true, failureShare: 0, slowFactor: 5 },
  { name: 'one route fails 30 %', isBad: true, failureShare: 0.3, slowFactor: 1, route: 2 },
  { name: 'one route 3 times slower', isBad: true, failureShare: 0, slowFactor: 3, route: 2 },
  { name: 'fails 30 % in 2nd half', isBad: true, failureShare: 0.3, slowFactor: 1, badFrom: 0.5 },
  { name: '3 times slower in 2nd half', isBad: true, failureShare: 0, slowFactor: 3, badFrom: 0.5 },
];

const METHODS: readonly Method[] = ['fixed', 'sequential'];

const SERVICES: readonly Service[] = [
  { requestsPerS: 10, instances: 2, failureShare: 0.002, durationMs: 30_000 },
  { requestsPerS: 30, instances: 3, failureShare: 0.002, durationMs: 30_000 },
  { requestsPerS: 100, instances: 6, failureShare: 0.002, durationMs: 30_000 },
  { requestsPerS: 100, instances: 6, failureShare: 0.01, durationMs: 30_000 },
  { requestsPerS: 300, instances: 12, failureShare: 0.01, durationMs: 30_000 },
];

const trials = Number(process.argv[2] ?? 500);

const methods = process.argv[3] ? METHODS.filter((name) => name === process.argv[3]) : METHODS;

function computeMean(values: readonly number[]): number {
  if (values.length === 0) return NaN;
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

for (const service of SERVICES) {
  const { requestsPerS, instances, failureShare, durationMs } = service;
  console.log(
    `\n${requestsPerS} requests per second, ${instances} instances per version, ` +
      `${100 * failureShare} % failures of good ones, ${durationMs / 1000} s, ${trials} trials`,
  );
  console.log('wrong %  decided after s  failures before  runs before  method      version');
  for (const scenario of SCENARIOS) {
    for (const method of methods) {
      const random = createRandom(1);
      const outcomes = Array.from({ length: trials }, () =>
        playRollout(service, scenario, method, random),
      );
      const wrong = outcomes.filter(({ isRolledBack }) => isRolledBack !== scenario.isBad);
      const found = outcomes.filter(({ isRolledBack }) => isRolledBack);
      const mean = (read: (outcome: (typeof found)[number]) => number) =>
        computeMean(found.map(read)).toFixed(1);
      const columns = [
        ((100 * wrong.length) / trials).toFixed(1).padStart(7),
        mean(({ decidedAtMs }) => decidedAtMs / 1000).padStart(15),
        mean(({ failures }) => failures).padStart(15),
        mean(({ targetRuns }) => targetRuns).padStart(11),
        method.padEnd(10),
        scenario.name,
      ];
      console.log(columns.join('  '));
    }
  }
}
