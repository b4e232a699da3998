/** A fleet in one process with the routes that several tests use. */
import type { FleetRoute } from '../../standins/mesh/configuration.js';
import { MeshFleet } from '../../standins/mesh/meshFleet.js';

/** Routes of the fleet; a test may start it with further ones. */
export const ROUTES: readonly FleetRoute[] = [
  { prefix: '/read/', kind: 'safe' },
  { prefix: '/book/', kind: 'unsafe', priority: 0 },
  { prefix: '/short/', kind: 'unsafe', timeoutMs: 200 },
  { prefix: '/long/', kind: 'unsafe', timeoutMs: 20_000 },
];

/** Runs a function with a started fleet, and closes it afterwards. */
export async function withFleet(run: (fleet: MeshFleet) => Promise<void>): Promise<void> {
  const fleet = new MeshFleet();
  await fleet.start(ROUTES);
  try {
    await run(fleet);
  } finally {
    await fleet.close();
  }
}
