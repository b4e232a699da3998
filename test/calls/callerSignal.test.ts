import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CallerSignal } from '../../src/core/calls/callerSignal.js';

// Guards against notifying a removed listener, and against notifying a listener twice.
test('an abort calls each registered listener once', () => {
  const signal = new CallerSignal();
  const called: string[] = [];
  const later = () => called.push('later');
  signal.addEventListener('abort', () => {
    called.push('first');
    signal.removeEventListener('abort', later);
  });
  signal.addEventListener('abort', later);
  signal.abort();
  signal.addEventListener('abort', later);
  signal.abort();
  assert.deepEqual([called, signal.aborted], [['first'], true]);
});
