/** Dispatch of received messages to their methods. */
import { err, ok, type Result } from 'neverthrow';
import { buildError, toStepError, type StepError } from '../../errors.js';
import type { Sender } from '../../generated/types.js';
import { checkParams } from './validation.js';

/** What a method learns about the connection that a message came over. */
export interface PeerContext {
  /** Address of the connection, for logs. */
  readonly peer: string;
  /** Calls the listener once the answer has left this process or its connection is gone. */
  onAnswered(listener: () => void): void;
}

/** Runs one method. The parameters have passed the schema. */
export type PeerMethod = (
  params: never,
  context: PeerContext,
) => Promise<Result<object, StepError>> | Result<object, StepError>;

/** Methods by name. */
export type PeerMethods = Readonly<Record<string, PeerMethod>>;

/** Decides whether a sender may speak; refuses earlier incarnations. */
export type SenderCheck = (from: Sender) => Result<void, StepError>;

/** Validates messages and runs their methods. */
export interface Dispatcher {
  addMethods(methods: PeerMethods): void;
  setSenderCheck(check: SenderCheck): void;
  dispatch(
    method: string,
    params: unknown,
    context: PeerContext,
  ): Promise<Result<object, StepError>>;
}

/** Creates a dispatcher. A method that throws gives an error of kind `internal`. */
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
      // Only a look-up, which comes before the sender has an incarnation, names no sender.
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
