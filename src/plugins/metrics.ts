/** Metrics in the Prometheus text format. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { ControlCounters, ConfigStore, MemberTable } from '../types/interfaces.js';
import type { Outcome } from '../types/outcome.js';
import type { RouteName } from '../types/ids.js';
import type { UsageSampler } from './processUsage.js';

const MS_PER_SECOND = 1000;
const LATENCY_BUCKETS_S = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/** Sources that the gauges read at scrape time. */
export interface MetricsSources {
  readonly store: ConfigStore;
  readonly table: MemberTable;
  readonly counters: ControlCounters;
  readonly usage: UsageSampler;
}

/** Metrics of one node. */
export interface Metrics {
  /** Records one finished call. */
  record(route: RouteName, outcome: Outcome, latencyMs: number): void;
  recordSpillOver(route: RouteName, reason: string): void;
  recordRetry(route: RouteName): void;
  /** Renders all metrics in the text format. */
  render(): Promise<string>;
  readonly contentType: string;
}

function registerGauges(registry: Registry, sources: MetricsSources): void {
  const { store, table, counters, usage } = sources;
  const registers = [registry];
  const addGauge = (name: string, help: string, read: () => number) =>
    new Gauge({
      name,
      help,
      registers,
      collect() {
        this.set(read());
      },
    });
  addGauge(
    'lycheelane_config_version',
    'Installed configuration version.',
    () => store.getTag().version,
  );
  addGauge(
    'lycheelane_config_refused_version',
    'Version above the installed one that this node refuses to enforce; 0 when there is none.',
    () => store.getLastRefusal()?.version ?? 0,
  );
  addGauge('lycheelane_ready', '1 when the node serves calls.', () => (store.isReady() ? 1 : 0));
  addGauge('lycheelane_relay', '1 when the node is a relay.', () => (table.isRelay() ? 1 : 0));
  addGauge(
    'lycheelane_members_alive',
    'Members with verdict alive.',
    () => table.listMembers().filter((member) => member.verdict === 'alive').length,
  );
  addGauge(
    'lycheelane_process_cpu_percent',
    'Share of one core in percent.',
    () => usage.get().cpuPercent,
  );
  addGauge(
    'lycheelane_process_resident_bytes',
    'Resident memory.',
    () => usage.get().residentBytes,
  );
  const control = new Counter({
    name: 'lycheelane_control_bytes_total',
    help: 'Control traffic by direction and message type.',
    labelNames: ['type'],
    registers,
    collect() {
      control.reset();
      for (const [type, traffic] of Object.entries(counters.snapshot())) {
        control.inc({ type }, traffic.bytes);
      }
    },
  });
}

/** Creates the metrics of a node. */
export function createMetrics(sources: MetricsSources): Metrics {
  const registry = new Registry();
  const calls = new Counter({
    name: 'lycheelane_calls_total',
    help: 'Finished calls by route and outcome.',
    labelNames: ['route', 'outcome', 'reason'],
    registers: [registry],
  });
  const latency = new Histogram({
    name: 'lycheelane_call_seconds',
    help: 'Latency of calls at the entry node.',
    labelNames: ['route'],
    buckets: LATENCY_BUCKETS_S,
    registers: [registry],
  });
  const spillOvers = new Counter({
    name: 'lycheelane_spill_overs_total',
    help: 'Calls sent to another data centre, by reason.',
    labelNames: ['route', 'reason'],
    registers: [registry],
  });
  const retries = new Counter({
    name: 'lycheelane_retries_total',
    help: 'Attempts after the first one.',
    labelNames: ['route'],
    registers: [registry],
  });
  registerGauges(registry, sources);
  return {
    contentType: registry.contentType,
    render: () => registry.metrics(),
    record(route, outcome, latencyMs) {
      const reason = outcome.kind === 'answered' ? '' : outcome.reason;
      calls.inc({ route, outcome: outcome.kind, reason });
      latency.observe({ route }, latencyMs / MS_PER_SECOND);
    },
    recordSpillOver: (route, reason) => spillOvers.inc({ route, reason }),
    recordRetry: (route) => retries.inc({ route }),
  };
}
