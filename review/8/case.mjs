/* eslint-disable */
/**
 * CONFIG, removed keys: a machine freezes for 1.6 s and is cut off meanwhile. The answer of a watch
 * that had reached it before is then taken as evidence of the present.
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

/** Revoke of the pages. */
const REVOKE_MS = 5000;

const FREEZE_MS = 1600;
const CUT_MS = 5500;

const lab = new Lab(import.meta.url);
const store = new Store(lab);
await store.listen();
const link = new Link(lab, store.port);
await link.listen();
const route = { name: 'read', PathPrefix: '/read/', Service: 'pads', Timeout: '2500ms' };
const kept = { name: 'cafe', ApiKeys: ['key-of-the-cafe'] };
const removed = { name: 'shop', ApiKeys: ['key-of-the-shop'] };
const services = ['pads'];
const configure = (version, routes, tenants) =>
  store.put('config', 'main', buildConfig(version, { routes, services, tenants }));
configure(1, [route], [kept, removed]);

const instance = new Instance(lab, 'i-a', 'pads');
await instance.listen();
const machine = new Machine(lab, {
  name: 'sidecar-a-1',
  zone: 'zone-a',
  service: 'pads',
  instancePort: instance.port,
  storePort: link.port,
  policies: { EnforceRevoke: true, Revoke: '5000ms' },
});
await machine.prepare();
machine.start();
await machine.untilReady();
await instance.startBeats(machine.ports.control);
const caller = new Caller(lab, machine.ports.calls, { key: 'key-of-the-shop' });
await wait(2000);
const before = await caller.call('/read/1');
if (before.answer.status !== 200) lab.fail('the key was not accepted at first');

// The next watch of the configuration, of which there is one every 1.5 s.
const watched = new Set(store.waiting);
const isNewWatch = (watch) => watch.kind === 'config' && !watched.has(watch);
while (![...store.waiting].some(isNewWatch)) await wait(2);

if (hasTrouble) machine.signal('SIGSTOP');
const frozenAtMs = lab.now();
await wait(50);
configure(2, [{ ...route, Timeout: '2400ms' }], [kept, removed]);
lab.log('version 2 was acknowledged: another timeout');
await wait(100);
if (hasTrouble) {
  link.set('cut');
  lab.log('the machine is cut off');
}
configure(3, [{ ...route, Timeout: '2400ms' }], [kept]);
const removedAtMs = lab.now();
lab.log('version 3 was acknowledged: the key of the shop is removed');
await wait(FREEZE_MS - (lab.now() - frozenAtMs));
if (hasTrouble) machine.signal('SIGCONT');

while (lab.now() < removedAtMs + CUT_MS) {
  await caller.call('/read/1');
  await wait(10);
}
link.set('open');
await wait(1000);

const ranIds = new Set(instance.runs.map(({ id }) => id));
const late = caller.sent.filter(
  ({ id, sentAtMs }) => sentAtMs > removedAtMs + REVOKE_MS && ranIds.has(id),
);
lab.end(
  late.length > 0,
  `CONFIG: ${late.length} requests ran that were sent later than ${REVOKE_MS} ms after the acknowledgement that removed their key`,
);
