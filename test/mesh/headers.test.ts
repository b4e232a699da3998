/** Look-up and filtering of raw headers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { filterHeaders, getHeader } from '../../src/mesh/headers.js';

const HEADERS = ['Host', 'a', 'HOST', 'b', 'Hist', 'c', 'Hosts', 'd', 'Connection', 'x-own, Hist'];

test('a header is found whatever the case of its name, the first one of several', () => {
  for (const name of ['host', 'Host', 'hOST']) assert.equal(getHeader(HEADERS, name), 'a');
  assert.equal(getHeader(HEADERS, 'HOSTS'), 'd');
  assert.equal(getHeader(HEADERS, 'hos'), undefined);
});

test('hop-by-hop headers, those that connection lists and removed ones are not forwarded', () => {
  const sent = [...HEADERS, 'X-OWN', 'e', 'Keep-Alive', 'f', 'Te', 'g', 'Mesh-Seen', 'h'];
  const kept = ['Host', 'a', 'HOST', 'b', 'Hosts', 'd'];
  assert.deepEqual(filterHeaders(sent, new Set(['mesh-seen'])), kept);
});

test('headers without a connection header are forwarded except hop-by-hop ones', () => {
  assert.deepEqual(filterHeaders(['A', '1', 'Upgrade', '2', 'b', '3']), ['A', '1', 'b', '3']);
});
