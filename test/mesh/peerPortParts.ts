/** Parts of a peer port that tests do not look at. */
import { CallMonitor } from '../../src/mesh/callMonitor.js';
import { SILENT_LOG } from '../../src/mesh/eventLog.js';
import { MeshMetrics } from '../../src/mesh/meshMetrics.js';

/** An event loop that is never blocked. */
export const CALM_LOOP = { waitForArrivals: () => undefined };

export const SILENT_MONITOR = new CallMonitor({
  metrics: new MeshMetrics(),
  log: SILENT_LOG,
  getLagMs: () => 0,
});
