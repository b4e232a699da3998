/* eslint-disable */
/**
 * DRAIN: a machine joins while the store turns it away, so that its record is never stored. Its
 * instance leaves, which is acknowledged, and its node is restarted as planned. The next process
 * takes itself for the first one and does not ask the instance when a late heartbeat arrives.
 */
import {
  buildConfig,
  Caller,
  hasTrouble,
  Instance,
  Lab,
  Link,
  Machine,
  Store,
  wait,
} from '../lib-2/lab.mjs';

/** Bounds of the pages. */
const DRAIN_MS = 2000;
const TOUCH_MS = 3000;

/** The store turns one of three machines away for 9 s. */
const REFUSED_MS = 9000;
const LEAVES_AT_MS = 5000;
const STOP_AT_MS = 3500;

/** Lateness of the last heartbeat of the instance. */
const LATE_MS = 2200;

/** The instance serves on for this time after it has deregistered. */
const SERVES_ON_MS = 10_000;

const lab = new Lab(import.meta.url);
const store = new Store(lab);
await store.listen();
const routes = [{ name: 'book', PathPrefix: '/book/', Service: 'pads', Kind: 'unsafe' }];
store.put('config', 'main', buildConfig(1, { routes, services: ['pads'] }));

const machines = [];
const addMachine = async (zone) => {
  const instance = new Instance(lab, `i-${zone}`, 'pads', { zone: `zone-${zone}` });
  await instance.listen();
  const link = new Link(lab, store.port);
  await link.listen();
  const machine = new Machine(lab, {
    name: `sidecar-${zone}-1`,
    zone: `zone-${zone}`,
    service: 'pads',
    instancePort: instance.port,
    storePort: link.port,
  });
  await machine.prepare();
  machine.start();
  await machine.untilReady();
  machines.push(machine);
  return { machine, instance, link };
};
for (const zone of ['a', 'b']) {
  const { machine, instance } = await addMachine(zone);
  await instance.startBeats(machine.ports.control);
}
const callers = machines.map(({ ports }) => new Caller(lab, ports.calls));
let isSending = true;
const sendAll = async (caller) => {
  while (isSending) {
    await caller.call('/book/1', { method: 'POST', body: 'pad' });
    await wait(40);
  }
};
const sending = callers.flatMap((caller) => [sendAll(caller), sendAll(caller), sendAll(caller)]);
await wait(3000);

const { machine, instance, link } = await addMachine('c');
const joinedAtMs = lab.now();
const local = new Caller(lab, machine.ports.calls);
sending.push(sendAll(local), sendAll(local));
const until = (ms) => wait(Math.max(0, joinedAtMs + ms - lab.now()));
if (hasTrouble) {
  link.set('refused');
  lab.log('the store turns the machine that has joined away');
}
await wait(200);
await instance.startBeats(machine.ports.control);

await until(STOP_AT_MS);
machine.signal('SIGTERM');
await until(LEAVES_AT_MS - 100);
clearInterval(instance.timer);
instance.sequence += 1;
const lastBeat = { Sequence: instance.sequence };
await until(LEAVES_AT_MS);
instance.state = 'draining';
const status = await instance.announce('deregister', { born: instance.born });
const ackedAtMs = lab.now();
lab.log(`${instance.id} deregistered and got ${status}`);
if (status !== 200) lab.fail('no acknowledgement');
await machine.ended;
await wait(100);
machine.start();
await wait(Math.max(0, joinedAtMs + LEAVES_AT_MS - 100 + LATE_MS - lab.now()));
const sequence = instance.sequence;
const beat = await instance.beat({ ...lastBeat, State: 'ready' });
instance.sequence = sequence;
lab.log(`a heartbeat of ${instance.id} from before arrived ${LATE_MS} ms late and got ${beat}`);

await until(REFUSED_MS);
link.set('open');
lab.log('the store serves the machine again');
const judgedFromMs = Math.max(lab.now() + TOUCH_MS + 100, ackedAtMs + DRAIN_MS);
await wait(Math.max(0, ackedAtMs + SERVES_ON_MS - lab.now()));
instance.close();
lab.log(`${instance.id} ends`);
isSending = false;
await Promise.all(sending);

const late = instance.runs.filter(({ atMs }) => atMs > judgedFromMs);
const last = instance.runs.at(-1)?.atMs ?? 0;
lab.end(
  late.length > 0,
  `DRAIN: ${late.length} requests reached ${instance.id} while all machines were in touch, the last ${Math.max(0, last - ackedAtMs).toFixed(0)} ms after the acknowledgement`,
);
