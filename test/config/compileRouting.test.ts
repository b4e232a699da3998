import assert from 'node:assert/strict';
import { test } from 'node:test';
import { buildBundle, NO_PARENT } from '../../src/core/config/buildBundle.js';
import { compileRouting } from '../../src/core/config/compileRouting.js';
import type { ConfigContent } from '../../src/core/config/renderSite.js';
import { brandText, type DataCentre, type ServiceName } from '../../src/types/ids.js';
import { buildContent } from './samples.js';

const SITE_A = brandText<DataCentre>('south-a');
const SITE_B = brandText<DataCentre>('south-b');
const PADBOOK = brandText<ServiceName>('padbook');

function compile(content: ConfigContent, site = SITE_A) {
  return compileRouting(buildBundle(content, NO_PARENT), site);
}

// Guards against defaults or overlays of one site that are applied to another or to the bundle.
test('compile renders its own site with defaults and does not modify the bundle', () => {
  const bundle = buildBundle(buildContent(), NO_PARENT);
  const before = structuredClone(bundle);
  const limits = [SITE_A, SITE_B, brandText<DataCentre>('new')].map((site) => {
    const state = compileRouting(bundle, site)._unsafeUnwrap();
    return state.services.get(PADBOOK)?.config.queueLimit;
  });
  assert.deepEqual(limits, [20, 3, 20]);
  assert.deepEqual(bundle, before);
});

// Guards against a version that some sites enforce and others refuse (G3).
test('a fault in one overlay makes every site refuse the version', () => {
  const content = buildContent();
  const overlays = { ...content.overlays, 'south-b': { services: { padbook: null } } };
  for (const site of [SITE_A, SITE_B]) {
    const error = compile({ ...content, overlays }, site)._unsafeUnwrapErr();
    assert.equal(error.kind, 'invalid');
    assert.match(error.message, /overlay south-b: services\.padbook/);
  }
});

// Guards against content that was modified in transit or storage, and against malformed bundles.
test('a bundle with a wrong digest or a malformed field is refused', () => {
  const bundle = buildBundle(buildContent(10), NO_PARENT);
  const forged = { ...bundle, base: buildContent(11).base };
  assert.equal(compileRouting(forged, SITE_A)._unsafeUnwrapErr().kind, 'mismatch');
  const malformed = { ...bundle, version: 0 };
  assert.equal(compileRouting(malformed, SITE_A)._unsafeUnwrapErr().kind, 'invalid');
});

// Guards against a routing state that changes during a call.
test('a routing state is immutable', () => {
  const state = compile(buildContent())._unsafeUnwrap();
  const services = state.services as Map<unknown, unknown>;
  assert.throws(() => services.delete(PADBOOK), TypeError);
  assert.throws(() => services.set('x', 1), TypeError);
  assert.throws(() => services.clear(), TypeError);
  const [route] = [...state.routes.values()];
  assert.throws(() => route?.config.match.methods?.push('GET'), TypeError);
  assert.throws(() => Object.assign(route?.service.config ?? {}, { slots: 1 }), TypeError);
});

function buildRoute(pathPrefix: string, authority?: string, methods?: string[]) {
  const match = { pathPrefix, ...(authority && { authority }), ...(methods && { methods }) };
  return { match, service: 'padbook', repeatability: 'repeatable' };
}

const ROUTES = {
  root: buildRoute('/'),
  pads: buildRoute('/pads/'),
  'pads-new': buildRoute('/pads/new', undefined, ['POST']),
  named: buildRoute('/', 'Skies.example'),
  'named-pads': buildRoute('/pads', 'skies.example', ['GET']),
  once: buildRoute('/bookings'),
};

// Guards against requests that reach a less specific route, or a `once` resource by another route.
const MATCHES: readonly [string, string, string, string | undefined][] = [
  ['other.example', '/', 'GET', 'root'],
  ['other.example', '/pads', 'GET', 'pads'],
  ['other.example', '/pads/7?view=full', 'GET', 'pads'],
  ['other.example', '/padsx', 'GET', 'root'],
  ['other.example', '/pads/new', 'POST', 'pads-new'],
  ['other.example', '/pads/new', 'GET', 'pads'],
  ['skies.example', '/pads/new', 'POST', 'named'],
  ['SKIES.example.:8080', '/pads/1', 'GET', 'named-pads'],
  ['', '/pads', 'GET', 'pads'],
  ['other.example', '/%62ookings', 'POST', 'once'],
  ['other.example', '//bookings//', 'POST', 'once'],
  ['other.example', '/pads/../bookings', 'POST', undefined],
  ['other.example', '/pads/%2E%2e/bookings', 'POST', undefined],
  ['other.example', '/pads\\..\\bookings', 'POST', undefined],
  ['other.example', 'bookings', 'POST', undefined],
];
for (const [host, path, method, expected] of MATCHES) {
  test(`match: ${method} ${host} ${path}`, () => {
    const base = { services: { padbook: { slots: 1 } }, routes: ROUTES };
    const state = compile({ base, overlays: {} })._unsafeUnwrap();
    assert.equal(state.matchRoute(host, path, method)?.name, expected);
  });
}
