import assert from 'node:assert/strict';
import { test } from 'node:test';
import { buildError, isStepError, toStepError } from '../src/errors.js';

// Guards against a repeated conversion that replaces the step and peer of the original error.
test('an error keeps its kind, step and peer when it is converted again', () => {
  const error = buildError('timeout', 'config.fetch', '127.0.0.1:7000', 'no answer in 500 ms');
  const converted = toStepError(error, 'other', 'other');
  assert.ok(isStepError(converted));
  assert.equal(converted, error);
  assert.equal(converted.step, 'config.fetch');
  assert.equal(converted.peer, '127.0.0.1:7000');
});
