/** Program: platform stand-in. Prints its address as one JSON line once it listens. */
import { parseOptions } from '../options.js';
import { startPlatform } from './server.js';

const options = parseOptions({ port: '0', host: '127.0.0.1', seed: '1' });
const platform = await startPlatform({
  host: options.host,
  port: Number(options.port),
  seed: Number(options.seed),
});
console.log(JSON.stringify({ port: platform.port, url: platform.url }));

for (const signal of ['SIGTERM', 'SIGINT'] as const) {
  process.once(signal, () => {
    void platform.close();
  });
}
