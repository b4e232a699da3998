/**
 * All open connections to the store go silent for good, while new ones work. A change of the
 * configuration is acknowledged shortly afterwards. Hosts whose calls all go to their own instance
 * enforce the version before it for up to 26 s, although they have long been in touch again.
 */
import { findFreePort, getHostAddress } from '../lib/addresses.js';
import { Caller } from '../lib/caller.js';
import { BOUNDS, buildConfig, waitMs } from '../lib/mesh.js';
import { runCase } from '../lib/runCase.js';
import { SilentProxy } from '../lib/silentProxy.js';

const HOSTS = ['a', 'b', 'c'].flatMap((zone) => [
  { zone: `fi-south-${zone}`, service: 'orders' },
  { zone: `fi-south-${zone}`, service: 'catalogue' },
]);

/** Time for which callers send requests before the disruption. */
const CALM_MS = 6000;

/** Time between the disruption and the change that is judged. */
const CHANGE_AFTER_MS = 500;

/** Time after the disruption for which callers go on. */
const OBSERVED_MS = 30_000;

/** Interval of the requests of one caller. */
const INTERVAL_MS = 100;

/** Margin for the difference between the clock of the callers and what a host sees. */
const MARGIN_S = 0.1;

const ROUTE_SEARCH = { name: 'r-search', prefix: '/search/', kind: 'safe', service: 'catalogue' };
const ROUTE_BOOK = { name: 'r-book', prefix: '/book/', kind: 'unsafe', service: 'catalogue' };

const ROUTE_PAY = { name: 'r-pay', prefix: '/pay/', kind: 'unsafe', service: 'orders' };

const VERSIONS = {
  first: buildConfig(3, [ROUTE_SEARCH, ROUTE_BOOK, ROUTE_PAY]),
  second: buildConfig(8, [
    ROUTE_SEARCH,
    { ...ROUTE_BOOK, service: 'orders' },
    ROUTE_PAY,
    { name: 'r-new', prefix: '/new/', kind: 'safe', service: 'catalogue' },
  ]),
};

/** Requests of the callers on a host of each service; before the change all are served there. */
const REQUESTS = {
  catalogue: [
    { method: 'GET', path: '/search/1' },
    { method: 'POST', path: '/book/1', bodyBytes: 300 },
    { method: 'GET', path: '/new/1' },
  ],
  orders: [{ method: 'POST', path: '/pay/1', bodyBytes: 300 }],
};

async function startProxy(mesh) {
  const host = getHostAddress(199);
  const port = await findFreePort(host);
  const proxy = new SilentProxy({ target: { host: mesh.storeHost, port: mesh.storePort } });
  await proxy.listen(host, port);
  return { proxy, address: `${host}:${port}` };
}

/** Sends requests of all kinds on one host until `isOver`; returns what their callers saw. */
async function sendRequests(mesh, { name, host, ports, instance }, isOver) {
  const { record } = mesh;
  const outcomes = [];
  const loops = REQUESTS[instance.service].map(async (kind) => {
    const caller = new Caller({ host, port: ports.outbound, name, record });
    while (!isOver()) {
      outcomes.push({ host: name, ...(await caller.call(kind)) });
      await waitMs(INTERVAL_MS);
    }
    caller.close();
  });
  await Promise.all(loops);
  return outcomes;
}

/** Returns why an outcome is one that only an older version allows; undefined if it is not. */
function explainOlder(mesh, { path, status, body }) {
  if (path.startsWith('/new/') && status === 404) return '404 for a route that is there';
  const instanceId =
    path.startsWith('/book/') && status === 200 ? body.split(' ', 1)[0] : undefined;
  const instance = mesh.hosts.map((host) => host.instance).find(({ id }) => id === instanceId);
  return instance?.service === 'catalogue' ? 'run by the service before the change' : undefined;
}

await runCase(import.meta.url, async ({ mesh, record, isTrouble }) => {
  await mesh.startStore();
  const { proxy, address } = await startProxy(mesh);
  mesh.setStoreAddress(address);
  mesh.store.putObject('config', 'main', VERSIONS.first);
  await mesh.addHosts(HOSTS);
  await mesh.waitReady();
  let isOver = false;
  const sending = mesh.hosts.map((host) => sendRequests(mesh, host, () => isOver));
  await waitMs(CALM_MS);

  if (isTrouble) record.note(`${proxy.silence()} connections to the store go silent`);
  const silentAtS = record.getTimeS();
  await waitMs(CHANGE_AFTER_MS);
  mesh.store.putObject('config', 'main', VERSIONS.second);
  const acknowledgedAtS = record.getTimeS();
  record.note('version 8 acknowledged');
  await waitMs(OBSERVED_MS);
  isOver = true;
  const outcomes = (await Promise.all(sending)).flat();
  proxy.close();

  const inTouchAtS = silentAtS + BOUNDS.touchMs / 1000;
  const boundAtS = acknowledgedAtS + BOUNDS.configApplyMs / 1000;
  const judgedAtS = Math.max(inTouchAtS, boundAtS) + MARGIN_S;
  record.note(`judged: requests sent after ${judgedAtS.toFixed(3)}`);
  const judged = outcomes.filter(({ sentAtS }) => sentAtS > judgedAtS);
  const older = judged
    .map((outcome) => ({ ...outcome, reason: explainOlder(mesh, outcome) }))
    .filter(({ reason }) => reason !== undefined);
  record.note(`${older.length} of ${judged.length} requests handled as an older version allows`);
  const hosts = new Set(older.map(({ host }) => host));
  return [...hosts].map((host) => {
    const ofHost = older.filter((outcome) => outcome.host === host);
    const last = ofHost.at(-1);
    const lateS = (last.sentAtS - acknowledgedAtS).toFixed(2);
    const count = `${ofHost.length} requests, the last sent ${lateS} s after the acknowledgement`;
    return `CONFIG: ${host}: ${count}: ${last.reason}`;
  });
});
