/** Topologies of the example users, in their sizes of today. */
import type { Topology } from './topology.js';

/** Three data centres of Sternwacht Buchungen: 8 instances of skyguide and 3 of padbook. */
export const STERNWACHT: Topology = {
  oneWayMs: 1.5,
  dataCentres: ['a', 'b', 'c'].map((letter, index) => ({
    name: `bavaria-south-${letter}`,
    region: 'bavaria-south',
    services: [
      { service: 'skyguide', instances: index === 2 ? 2 : 3, slots: 10, workMs: 8 },
      { service: 'padbook', instances: 1, slots: 10, workMs: 12 },
    ],
  })),
};
