import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../../src/errors.js';
import { createDispatcher, type Dispatcher } from '../../src/core/peer/dispatcher.js';
import { checkAnswer } from '../../src/core/peer/validation.js';
import type { PeerAddress, PeerClient } from '../../src/types/interfaces.js';

/** One message on its way. */
export interface Passage {
  readonly from: string;
  readonly to: string;
  readonly method: string;
  readonly params: Record<string, unknown>;
}

/** What happens to a message: delays are in milliseconds of the mocked clock. */
export type Fate =
  | 'deliver'
  | 'lose'
  | 'lose-answer'
  | 'duplicate'
  | { readonly delayMs: number }
  | { readonly answer: unknown };

/** Connects dispatchers by port; every message is copied through JSON. */
export interface MemoryNetwork {
  /** All messages sent so far. */
  readonly sent: Passage[];
  /** Decides the fate of each message; replace it to inject faults. */
  decide: (passage: Passage) => Fate;
  addNode(port: number): { readonly peers: PeerClient; readonly dispatcher: Dispatcher };
  removeNode(port: number): void;
}

function copy<Value>(value: Value): Value {
  return JSON.parse(JSON.stringify(value)) as Value;
}

function copyResult(result: Result<object, StepError>): Result<object, StepError> {
  return result.map(copy);
}

export function createMemoryNetwork(): MemoryNetwork {
  const nodes = new Map<number, Dispatcher>();
  const network: MemoryNetwork = {
    sent: [],
    decide: () => 'deliver',
    removeNode: (port) => nodes.delete(port),
    addNode: (port) => {
      const dispatcher = createDispatcher();
      nodes.set(port, dispatcher);
      const run = async (address: PeerAddress, method: string, params: object) => {
        const target = nodes.get(address.port);
        if (!target) return err(buildError('unavailable', method, `${address.port}`, 'refused'));
        const context = { peer: String(port), onAnswered: (done: () => void) => done() };
        return copyResult(await target.dispatch(method, copy(params), context));
      };
      const pass = async (address: PeerAddress, method: string, params: object) => {
        const passage = { from: `${port}`, to: `${address.port}`, method, params: copy(params) };
        network.sent.push(passage as Passage);
        const fate = network.decide(passage as Passage);
        await new Promise((resolve) => {
          setImmediate(resolve);
        });
        if (fate === 'lose') return undefined;
        if (typeof fate === 'object' && 'answer' in fate) return ok(fate.answer as object);
        if (typeof fate === 'object') {
          await new Promise((resolve) => {
            setTimeout(resolve, fate.delayMs);
          });
        }
        const result = await run(address, method, params);
        if (fate === 'duplicate') await run(address, method, params);
        return fate === 'lose-answer' ? undefined : result;
      };
      const peers: PeerClient = {
        request: <Answer>(
          address: PeerAddress,
          method: string,
          params: object,
          timeoutMs: number,
        ): Promise<Result<Answer, StepError>> =>
          new Promise((resolve) => {
            let timer: NodeJS.Timeout | undefined;
            const finish = (result: Result<object, StepError>) => {
              clearTimeout(timer);
              resolve(result as Result<Answer, StepError>);
            };
            const fail = () =>
              finish(err(buildError('timeout', method, `${address.port}`, 'no answer')));
            timer = setTimeout(fail, timeoutMs);
            void pass(address, method, params).then((result) => {
              if (result) {
                finish(result.andThen((value) => checkAnswer(method, value, `${address.port}`)));
              }
            });
          }),
        notify: (address, method, params) => {
          void pass(address, method, params);
        },
        close: async () => {},
      };
      return { peers, dispatcher };
    },
  };
  return network;
}
