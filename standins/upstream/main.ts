/** Program: upstream stand-in. Prints one JSON line with its port; drains on SIGTERM or SIGINT. */
import { parseOptions } from '../options.js';
import { startUpstream } from './server.js';

const DRAIN_TIMEOUT_EXIT_CODE = 3;

const options = parseOptions({
  service: undefined,
  'instance-id': undefined,
  host: '127.0.0.1',
  port: '0',
  slots: '10',
  'work-ms': '5',
  'start-ms': '0',
  'cold-start-ms': '0',
  'drain-ms': '10000',
  seed: '1',
  announce: '',
  'announce-interval-ms': '1000',
  call: '',
  'run-log': '',
});
const upstream = await startUpstream({
  service: options.service,
  instanceId: options['instance-id'],
  host: options.host,
  port: Number(options.port),
  slots: Number(options.slots),
  workMs: Number(options['work-ms']),
  startMs: Number(options['start-ms']),
  coldStartMs: Number(options['cold-start-ms']),
  seed: Number(options.seed),
  announceUrl: options.announce || undefined,
  announceIntervalMs: Number(options['announce-interval-ms']),
  callUrl: options.call || undefined,
  runLog: options['run-log'] || undefined,
});
console.log(JSON.stringify({ port: upstream.port, url: upstream.url }));

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.once(signal, () => {
    void upstream.drain(Number(options['drain-ms'])).then((isDrained) => {
      // A hanging request would keep the process alive beyond the drain limit.
      // eslint-disable-next-line n/no-process-exit
      process.exit(isDrained ? 0 : DRAIN_TIMEOUT_EXIT_CODE);
    });
  });
}
