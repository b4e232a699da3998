/** Program: sends one load that it receives over the channel of its parent and reports it. */
import { Agent, request } from 'undici';
import { waitMs } from '../../src/utils/backoff.js';
import { createRandom } from '../../standins/random.js';
import type { LoadPlan, LoadResult, LoadStream, StreamResult } from './loadPlan.js';
import { LatencyHistogram, buildArrivals } from './statistics.js';

/** Timers fire up to a millisecond late, so the last part of a wait polls the clock. */
const POLL_MS = 1.5;

/** Counts of one stream. */
class StreamState {
  readonly #latency = new LatencyHistogram();

  readonly #outcomes: Record<string, number> = {};

  #sent = 0;

  #inTime = 0;

  constructor(readonly stream: LoadStream) {}

  /** Counts a call and returns the address that it goes to. */
  addCall(): string {
    const { urls, path } = this.stream;
    const url = urls[this.#sent % urls.length] ?? '';
    this.#sent += 1;
    return url + path;
  }

  recordAnswer(plannedMs: number, endMs: number): void {
    this.#latency.record(plannedMs, endMs);
    if (endMs - plannedMs <= this.stream.deadlineMs) this.#inTime += 1;
  }

  recordOutcome(outcome: string): void {
    this.#outcomes[outcome] = (this.#outcomes[outcome] ?? 0) + 1;
  }

  getResult(): StreamResult {
    return {
      name: this.stream.name,
      sent: this.#sent,
      inTime: this.#inTime,
      outcomes: this.#outcomes,
      latency: this.#latency.getSummary(),
    };
  }
}

async function waitUntilMs(atMs: number): Promise<void> {
  const restMs = atMs - performance.now();
  if (restMs > POLL_MS) await waitMs(restMs - POLL_MS);
  while (performance.now() < atMs) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}

async function sendCall(
  agent: Agent,
  state: StreamState,
  plannedMs: number,
  callId: string,
): Promise<void> {
  const { headers, deadlineMs } = state.stream;
  try {
    const answer = await request(state.addCall(), {
      dispatcher: agent,
      headers: {
        ...headers,
        'x-call-id': callId,
        'lycheelane-deadline-ms': String(deadlineMs),
      },
    });
    await answer.body.text();
    const endMs = performance.now();
    const stated = answer.headers['lycheelane-outcome'];
    const reason = answer.headers['lycheelane-reason']?.toString() ?? '';
    const isAnswer = stated === undefined;
    state.recordOutcome(isAnswer ? String(answer.statusCode) : `${stated.toString()} ${reason}`);
    if (isAnswer && answer.statusCode === 200) state.recordAnswer(plannedMs, endMs);
  } catch (thrown) {
    const { code, message } = thrown as { code?: string; message?: string };
    state.recordOutcome(`broken ${code ?? message ?? String(thrown)}`);
  }
}

function chooseState(states: readonly StreamState[], drawn: number): StreamState {
  const total = states.reduce((sum, { stream }) => sum + stream.weight, 0);
  let rest = drawn * total;
  for (const state of states) {
    rest -= state.stream.weight;
    if (rest < 0) return state;
  }
  return states.at(-1) as StreamState;
}

async function runLoad(plan: LoadPlan): Promise<LoadResult> {
  const agent = new Agent({ pipelining: 1, headersTimeout: 60_000, bodyTimeout: 60_000 });
  const random = createRandom(plan.seed);
  const arrivals = buildArrivals(plan.ratePerSecond, plan.seconds, random);
  const createStates = () => plan.streams.map((stream) => new StreamState(stream));
  const uncounted = { states: createStates(), lateSends: new LatencyHistogram() };
  const counted = { states: createStates(), lateSends: new LatencyHistogram() };
  const countedFromMs = (plan.uncountedSeconds ?? 0) * 1000;
  const running = new Set<Promise<void>>();
  const startMs = performance.now() + 100;
  for (const [index, arrivalMs] of arrivals.entries()) {
    const plannedMs = startMs + arrivalMs;
    if (performance.now() < plannedMs) await waitUntilMs(plannedMs);
    const { states, lateSends } = arrivalMs < countedFromMs ? uncounted : counted;
    lateSends.record(plannedMs, performance.now());
    const state = chooseState(states, random());
    const call = sendCall(agent, state, plannedMs, `load-${plan.seed}-${index}`);
    running.add(call);
    void call.finally(() => running.delete(call));
  }
  await Promise.all(running);
  await agent.destroy();
  const streams = counted.states.map((state) => state.getResult());
  return { streams, lateSends: counted.lateSends.getSummary() };
}

process.once('message', (plan: LoadPlan) => {
  void runLoad(plan).then((result) => process.send?.(result, () => process.disconnect()));
});
