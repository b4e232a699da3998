/**
 * An instance deregisters, and its node acknowledges that while the store is away. The node is then
 * stopped and started again as planned, and gets a heartbeat that was sent before the
 * deregistration and held up. The new process takes the instance for one that is ready.
 */
import { Caller } from '../lib/caller.js';
import { BOUNDS, buildConfig, waitMs, waitUntil } from '../lib/mesh.js';
import { runCase } from '../lib/runCase.js';

/** Times after the start of the disruption, in seconds. */
const TIMES_S = {
  stop: 0.2,
  lateBeatSent: 1.9,
  deregistration: 2.0,
  storeBack: 4.5,
  instanceExit: 10.5,
};

/** Time after its start at which the new process gets the heartbeat that was held up. */
const BEAT_AFTER_START_MS = 400;

/** Delay after which the platform starts a process again. */
const RESTART_MS = 300;

/** Callers on each host of the other service. */
const CALLERS = 6;

const WORK_MS = 100;
const INTERVAL_MS = 50;
const MARGIN_S = 0.1;

const HOSTS = [
  { zone: 'fi-south-a', service: 'catalogue' },
  { zone: 'fi-south-b', service: 'catalogue' },
  { zone: 'fi-south-b', service: 'orders' },
  { zone: 'fi-south-c', service: 'orders' },
];

const CONFIG = buildConfig(3, [
  { name: 'r-book', prefix: '/book/', kind: 'unsafe', service: 'catalogue' },
]);

/** Sends bookings on a host until `isOver`. */
async function sendBookings({ name, host, ports }, record, isOver) {
  const caller = new Caller({ host, port: ports.outbound, name, record });
  const outcomes = [];
  while (!isOver()) {
    outcomes.push(await caller.call({ method: 'POST', path: '/book/1', bodyBytes: 300 }));
    await waitMs(INTERVAL_MS);
  }
  caller.close();
  return outcomes;
}

async function restart(node) {
  node.signal('SIGTERM');
  await node.ended;
  await waitMs(RESTART_MS);
  await node.start();
}

await runCase(import.meta.url, async ({ mesh, record, isTrouble }) => {
  await mesh.startStore();
  mesh.store.putObject('config', 'main', CONFIG);
  await mesh.addHosts(HOSTS, { getWorkMs: () => WORK_MS });
  await mesh.waitReady();
  const [{ instance, node }, ...others] = mesh.hosts;
  let isOver = false;
  const sending = others
    .filter((host) => host.instance.service === 'orders')
    .flatMap((host) => Array.from({ length: CALLERS }, () => host))
    .map((host) => sendBookings(host, record, () => isOver));
  await waitMs(4000);

  const startAtS = record.getTimeS();
  const waitFor = (timeS) => waitMs((startAtS + timeS - record.getTimeS()) * 1000);
  mesh.store.setRejecting(isTrouble);
  record.note(isTrouble ? 'the store rejects all calls' : 'the store goes on');
  await waitFor(TIMES_S.stop);
  record.note(`planned restart of ${node.name}`);
  const restarted = restart(node);
  await waitFor(TIMES_S.lateBeatSent);
  instance.stopBeats();
  const lateBeat = instance.buildBeat();
  const beatAtS = record.getTimeS();
  record.note(`${instance.id} sends heartbeat ${lateBeat.Sequence}, which is held up`);
  await waitFor(TIMES_S.deregistration);
  const status = await instance.deregister();
  const acknowledgedAtS = record.getTimeS();
  record.note(`deregistration of ${instance.id} acknowledged with ${status}`);
  if (status !== 200) throw new Error('the deregistration was not acknowledged');

  await restarted;
  await waitMs(BEAT_AFTER_START_MS);
  await waitUntil(async () => (await instance.sendBeat(lateBeat)) !== 0, 2000, 'late heartbeat');
  const lateS = (record.getTimeS() - beatAtS).toFixed(1);
  record.note(`heartbeat ${lateBeat.Sequence} arrives, ${lateS} s late`);
  await waitFor(TIMES_S.storeBack);
  mesh.store.setRejecting(false);
  const storeBackAtS = record.getTimeS();
  record.note('the store serves all calls');
  await waitFor(TIMES_S.instanceExit);
  instance.close();
  record.note(`${instance.id} exits`);
  isOver = true;
  await Promise.all(sending);

  const judgedAtS = Math.max(
    acknowledgedAtS + BOUNDS.drainMs / 1000,
    storeBackAtS + BOUNDS.touchMs / 1000,
  );
  const late = instance.arrivals.filter(({ atS }) => atS > judgedAtS + MARGIN_S);
  record.note(`${late.length} requests reached ${instance.id} after ${judgedAtS.toFixed(3)}`);
  if (late.length === 0) return [];
  const afterS = (late.at(-1).atS - acknowledgedAtS).toFixed(2);
  const count = `${late.length} requests reached ${instance.id}`;
  return [`DRAIN: ${count}, the last ${afterS} s after the acknowledgement`];
});
