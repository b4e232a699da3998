/** Guards against a node that trusts evidence of an unknown age, or that has none and waits on. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { computeMaxUnconfirmedMs, startConfirmations } from '../../src/mesh/confirmations.js';
import { KindPosition } from '../../src/mesh/kindPosition.js';
import { RevisionExchange } from '../../src/mesh/revisionExchange.js';
import { StoreEra } from '../../src/mesh/storeEra.js';

const SILENCE_LIMIT_MS = 3000;
const STEP_MS = 100;

/** Interval at which a primary watcher renews its evidence. */
const RENEWAL_MS = 1500;

interface Played {
  readonly interrupts: readonly string[];
  readonly questions: number;
}

/** Runs the checks for a while; `respond` is what an asked node does. */
function playChecks(
  context: TestContext,
  durationMs: number,
  respond: (position: KindPosition, nowMs: number) => void,
): Played {
  let nowMs = 10_000;
  context.mock.method(performance, 'now', () => nowMs);
  context.mock.timers.enable({ apis: ['setInterval'] });
  const position = new KindPosition();
  position.recordConfirmed(nowMs);
  const interrupts: string[] = [];
  position.setInterrupt((reason) => interrupts.push(reason));
  let questions = 0;
  const stop = startConfirmations({
    positions: [position],
    listConfirmers: () => [
      {
        async exchangeRevisions() {
          questions += 1;
          respond(position, nowMs);
        },
      },
    ],
    getSilenceLimitMs: () => SILENCE_LIMIT_MS,
    isFollower: () => false,
  });
  for (let passedMs = 0; passedMs < durationMs && interrupts.length === 0; passedMs += STEP_MS) {
    nowMs += STEP_MS;
    context.mock.timers.tick(STEP_MS);
  }
  stop();
  return { interrupts, questions };
}

test('a poll is interrupted in time when no node has evidence', (context) => {
  const limitMs = computeMaxUnconfirmedMs(SILENCE_LIMIT_MS);
  assert.deepEqual(playChecks(context, limitMs, () => {}).interrupts, []);
  context.mock.restoreAll();
  context.mock.timers.reset();
  const played = playChecks(context, SILENCE_LIMIT_MS - STEP_MS, () => {});
  assert.deepEqual(played.interrupts, ['unconfirmed']);
});

test('a poll goes on while another node has evidence that is young enough', (context) => {
  const { interrupts, questions } = playChecks(context, 20_000, (position, nowMs) =>
    position.recordConfirmed(nowMs - (nowMs % RENEWAL_MS)),
  );
  assert.deepEqual(interrupts, []);
  assert.ok(questions <= 20_000 / RENEWAL_MS + 1, `${questions} questions`);
});

test('evidence of another node is as old as its report says, at the time of the question', () => {
  const nowMs = performance.now();
  const build = () => {
    const position = new KindPosition();
    position.recordList(12);
    return { position, exchange: new RevisionExchange([position], new StoreEra()) };
  };
  const informed = build();
  informed.position.recordConfirmed(nowMs - 700);
  const report = informed.exchange.formatReport(nowMs);
  assert.match(report, /^0\.0\.700$/);

  const asking = build();
  asking.exchange.apply(report, nowMs - 50);
  assert.equal(Math.round(asking.position.getUnconfirmedMs(nowMs)), 750);

  const ageless = build();
  ageless.exchange.apply('0.0', nowMs - 50);
  assert.equal(ageless.position.getUnconfirmedMs(nowMs), Infinity, 'an earlier build');
  ageless.exchange.apply(report);
  assert.equal(ageless.position.getUnconfirmedMs(nowMs), Infinity, 'no response to a question');
  ageless.exchange.apply('13.0.5', nowMs - 50);
  assert.equal(ageless.position.getUnconfirmedMs(nowMs), Infinity, 'a change that is missing here');
  ageless.exchange.apply(build().exchange.formatReport(nowMs), nowMs - 50);
  assert.equal(ageless.position.getUnconfirmedMs(nowMs), Infinity, 'a node without evidence');
  ageless.position.endWait();
});
