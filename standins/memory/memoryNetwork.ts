import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../../src/errors.js';
import { createDispatcher, type Dispatcher } from '../../src/core/peer/dispatcher.js';
import { createControlCounters } from '../../src/core/peer/counters.js';
import { checkAnswer } from '../../src/core/peer/validation.js';
import type { ControlCounters, PeerAddress, PeerClient } from '../../src/types/interfaces.js';

/** Message between two nodes, identified by their ports. */
export interface PeerMessage {
  readonly from: string;
  readonly to: string;
  readonly method: string;
  readonly params: Record<string, unknown>;
}

/** How the transport handles a message; delays are in milliseconds of the virtual clock. */
export type Delivery =
  | 'deliver'
  | 'lose'
  | 'lose-answer'
  | 'duplicate'
  | { readonly delayMs: number }
  | { readonly answer: unknown };

/** In-memory transport between dispatchers, by port; every message is copied through JSON. */
export interface MemoryNetwork {
  /** Messages sent while `isRecording` was true. */
  readonly sent: PeerMessage[];
  isRecording: boolean;
  /** Decides how each message is handled; replace it to inject faults. */
  decideDelivery: (message: PeerMessage) => Delivery;
  addNode(port: number): {
    readonly peers: PeerClient;
    readonly dispatcher: Dispatcher;
    /** Size of the messages as lines on a TCP connection, by direction and type. */
    readonly counters: ControlCounters;
  };
  removeNode(port: number): void;
}

interface MemoryNode {
  readonly dispatcher: Dispatcher;
  readonly counters: ControlCounters;
}

/** Bytes of a JSON-RPC line without method, parameters and result; ids have four digits. */
const REQUEST_ENVELOPE_BYTES = '{"jsonrpc":"2.0","id":1000,"method":"","params":}\n'.length;
const NOTIFICATION_ENVELOPE_BYTES = '{"jsonrpc":"2.0","method":"","params":}\n'.length;
const RESPONSE_ENVELOPE_BYTES = '{"jsonrpc":"2.0","id":1000,"result":}\n'.length;

/** Copies a value through JSON and reports the size of the text. */
function copyAsJson<Value>(value: Value, onBytes: (bytes: number) => void): Value {
  const text = JSON.stringify(value);
  onBytes(Buffer.byteLength(text));
  return JSON.parse(text) as Value;
}

export function createMemoryNetwork(): MemoryNetwork {
  const nodes = new Map<number, MemoryNode>();
  const network: MemoryNetwork = {
    sent: [],
    isRecording: true,
    decideDelivery: () => 'deliver',
    removeNode: (port) => nodes.delete(port),
    addNode: (port) => {
      const dispatcher = createDispatcher();
      const counters = createControlCounters();
      nodes.set(port, { dispatcher, counters });
      const dispatchMessage = async (
        target: MemoryNode,
        method: string,
        params: object,
        isRequest: boolean,
      ) => {
        const context = { peer: String(port), onAnswered: (done: () => void) => done() };
        const result = await target.dispatcher.dispatch(method, params, context);
        if (!isRequest) return result;
        return result.map((value) =>
          copyAsJson(value, (bytes) => {
            target.counters.count('sent', `${method}.answer`, bytes + RESPONSE_ENVELOPE_BYTES);
            counters.count('received', `${method}.answer`, bytes + RESPONSE_ENVELOPE_BYTES);
          }),
        );
      };
      const sendMessage = async (
        address: PeerAddress,
        method: string,
        params: object,
        isRequest: boolean,
      ) => {
        let bytes =
          method.length + (isRequest ? REQUEST_ENVELOPE_BYTES : NOTIFICATION_ENVELOPE_BYTES);
        const copied = copyAsJson(params, (size) => {
          bytes += size;
        });
        const message = { from: `${port}`, to: `${address.port}`, method, params: copied };
        if (network.isRecording) network.sent.push(message as PeerMessage);
        const delivery = network.decideDelivery(message as PeerMessage);
        counters.count('sent', method, bytes);
        await new Promise((resolve) => {
          setImmediate(resolve);
        });
        if (delivery === 'lose') return undefined;
        if (typeof delivery === 'object' && 'answer' in delivery) {
          return ok(delivery.answer as object);
        }
        if (typeof delivery === 'object') {
          await new Promise((resolve) => {
            setTimeout(resolve, delivery.delayMs);
          });
        }
        const target = nodes.get(address.port);
        if (!target) return err(buildError('unavailable', method, `${address.port}`, 'refused'));
        target.counters.count('received', method, bytes);
        const result = await dispatchMessage(target, method, copied, isRequest);
        if (delivery === 'duplicate') await dispatchMessage(target, method, copied, isRequest);
        return delivery === 'lose-answer' ? undefined : result;
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
            const failWithTimeout = () =>
              finish(err(buildError('timeout', method, `${address.port}`, 'no answer')));
            timer = setTimeout(failWithTimeout, timeoutMs);
            void sendMessage(address, method, params, true).then((result) => {
              if (result) {
                finish(result.andThen((value) => checkAnswer(method, value, `${address.port}`)));
              }
            });
          }),
        notify: (address, method, params) => {
          void sendMessage(address, method, params, false);
        },
        close: async () => {},
      };
      return { peers, dispatcher, counters };
    },
  };
  return network;
}
