import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../../src/errors.js';
import { createDispatcher, type Dispatcher } from '../../src/core/peer/dispatcher.js';
import { createControlCounters } from '../../src/core/peer/counters.js';
import { checkAnswer } from '../../src/core/peer/validation.js';
import type { ControlCounters, PeerAddress, PeerClient } from '../../src/types/interfaces.js';

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
  /** All messages sent so far, unless `isRecording` is false. */
  readonly sent: Passage[];
  isRecording: boolean;
  /** Decides the fate of each message; replace it to inject faults. */
  decide: (passage: Passage) => Fate;
  addNode(port: number): {
    readonly peers: PeerClient;
    readonly dispatcher: Dispatcher;
    /** Bytes of the lines that a TCP link would carry, by direction and type. */
    readonly counters: ControlCounters;
  };
  removeNode(port: number): void;
}

interface MemoryNode {
  readonly dispatcher: Dispatcher;
  readonly counters: ControlCounters;
}

/** Bytes of a JSON-RPC line besides its parameters or result; ids have four digits. */
const REQUEST_BYTES = '{"jsonrpc":"2.0","id":1000,"method":"","params":}\n'.length;
const NOTIFICATION_BYTES = '{"jsonrpc":"2.0","method":"","params":}\n'.length;
const ANSWER_BYTES = '{"jsonrpc":"2.0","id":1000,"result":}\n'.length;

/** Copies a value through JSON and reports the bytes of the text. */
function copy<Value>(value: Value, onBytes: (bytes: number) => void): Value {
  const text = JSON.stringify(value);
  onBytes(Buffer.byteLength(text));
  return JSON.parse(text) as Value;
}

export function createMemoryNetwork(): MemoryNetwork {
  const nodes = new Map<number, MemoryNode>();
  const network: MemoryNetwork = {
    sent: [],
    isRecording: true,
    decide: () => 'deliver',
    removeNode: (port) => nodes.delete(port),
    addNode: (port) => {
      const dispatcher = createDispatcher();
      const counters = createControlCounters();
      nodes.set(port, { dispatcher, counters });
      const run = async (target: MemoryNode, method: string, params: object, isAsked: boolean) => {
        const context = { peer: String(port), onAnswered: (done: () => void) => done() };
        const result = await target.dispatcher.dispatch(method, params, context);
        if (!isAsked) return result;
        return result.map((value) =>
          copy(value, (bytes) => {
            target.counters.count('sent', `${method}.answer`, bytes + ANSWER_BYTES);
            counters.count('received', `${method}.answer`, bytes + ANSWER_BYTES);
          }),
        );
      };
      const pass = async (
        address: PeerAddress,
        method: string,
        params: object,
        isAsked: boolean,
      ) => {
        let bytes = method.length + (isAsked ? REQUEST_BYTES : NOTIFICATION_BYTES);
        const copied = copy(params, (size) => {
          bytes += size;
        });
        const passage = { from: `${port}`, to: `${address.port}`, method, params: copied };
        if (network.isRecording) network.sent.push(passage as Passage);
        const fate = network.decide(passage as Passage);
        counters.count('sent', method, bytes);
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
        const target = nodes.get(address.port);
        if (!target) return err(buildError('unavailable', method, `${address.port}`, 'refused'));
        target.counters.count('received', method, bytes);
        const result = await run(target, method, copied, isAsked);
        if (fate === 'duplicate') await run(target, method, copied, isAsked);
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
            void pass(address, method, params, true).then((result) => {
              if (result) {
                finish(result.andThen((value) => checkAnswer(method, value, `${address.port}`)));
              }
            });
          }),
        notify: (address, method, params) => {
          void pass(address, method, params, false);
        },
        close: async () => {},
      };
      return { peers, dispatcher, counters };
    },
  };
  return network;
}
