/** Ports for readiness checks and metrics. */
import { createServer, type Server } from 'node:http';
import type { MeshMetrics } from './meshMetrics.js';

/** Creates the port for readiness checks; the caller binds it. */
export function createReadyPort(isReady: () => boolean): Server {
  return createServer((request, response) => {
    request.resume();
    response.writeHead(isReady() ? 200 : 503, { 'Content-Length': 0 }).end();
  });
}

/** Creates the port that serves the metrics as text under one path; the caller binds it. */
export function createMetricsPort(metrics: MeshMetrics, path: string): Server {
  return createServer((request, response) => {
    request.resume();
    const isKnown = request.url === path;
    response.writeHead(isKnown ? 200 : 404, { 'Content-Type': 'text/plain' });
    response.end(isKnown ? metrics.render() : '');
  });
}
