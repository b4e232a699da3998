/** The example user Sternwacht Buchungen in its size of today: topology and calls. */
import type { Topology } from './launcher/topology.js';

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

/** HTTP authority of the example's routes. */
export const STERNWACHT_AUTHORITY = 'skies.sternwacht.example';

/** Requests that the example's callers make. */
export const STERNWACHT_CALLS = {
  calendar: { authority: STERNWACHT_AUTHORITY, method: 'GET', path: '/calendar/2027-03' },
  pads: { authority: STERNWACHT_AUTHORITY, method: 'GET', path: '/pads/free' },
  booking: { authority: STERNWACHT_AUTHORITY, method: 'POST', path: '/bookings' },
  deposit: { authority: STERNWACHT_AUTHORITY, method: 'POST', path: '/deposits' },
  cancellation: { authority: STERNWACHT_AUTHORITY, method: 'DELETE', path: '/bookings/17' },
} as const;
