/** Dispatch of received messages to methods. */
import { err, ok, type Result } from 'neverthrow';
import { buildError, toStepError, type StepError } from '../../errors.js';
import type { Sender } from '../../generated/types.js';
import { checkParams } from './validation.js';

/** Connection of a received message, passed to its method. */
export interface PeerContext {
  /** Address of the connection, for logs. */
  readonly peer: string;
  /** Calls the listener after the answer has been written or its connection has closed. */
  onAnswered(listener: () => void): void;
}

/** Handler of one method. The parameters have been validated against the schema. */
export type PeerMethod = (
  params: never,
  context: PeerContext,
) => Promise<Result<object, StepError>> | Result<object, StepError>;

/** Method handlers by method name. */
export type PeerMethods = Readonly<Record<string, PeerMethod>>;

/** Returns an error if messages of the sender must be refused. */
export type SenderCheck = (from: Sender) => Result<void, StepError>;

/** Validates messages and calls their methods. */
export interface Dispatcher {
  addMethods(methods: PeerMethods): void;
  setSenderCheck(check: SenderCheck): void;
  dispatch(
    method: string,
    params: unknown,
    context: PeerContext,
  ): Promise<Result<object, StepError>>;
}

/** Creates a dispatcher. If a method throws, the result is an error of kind `internal`. */
export function createDispatcher(initial: PeerMethods = {}): Dispatcher {
  const methods = new Map(Object.entries(initial));
  let checkSender: SenderCheck = () => ok(undefined);
  return {
    addMethods: (added) => {
      for (const [name, method] of Object.entries(added)) methods.set(name, method);
    },
    setSenderCheck: (check) => {
      checkSender = check;
    },
    dispatch: async (name, params, context) => {
      const method = methods.get(name);
      if (!method) return err(buildError('not-found', name, context.peer, 'unknown method'));
      const checked = checkParams(name, params, context.peer);
      if (checked.isErr()) return err(checked.error);
      // Only look-ups have no sender: they are sent before the node has chosen an incarnation.
      const { from } = checked.value as { from?: Sender };
      const allowed = from ? checkSender(from) : ok(undefined);
      if (allowed.isErr()) return err(allowed.error);
      try {
        return await method(checked.value as never, context);
      } catch (thrown) {
        return err(toStepError(thrown, name, context.peer));
      }
    },
  };
}
