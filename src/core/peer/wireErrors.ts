/** Conversion between step errors and JSON-RPC errors. */
import { JSONRPCErrorCode, JSONRPCErrorException } from 'json-rpc-2.0';
import { buildError, type ErrorKind, type StepError } from '../../errors.js';

/** JSON-RPC error code of errors with a kind in their data. */
const STEP_ERROR_CODE = -32000;
/** Code of the time-outs that the client itself detects; never sent. */
export const TIMEOUT_CODE = -32001;

const INVALID_CODE: number = JSONRPCErrorCode.InvalidParams;
const NOT_FOUND_CODE: number = JSONRPCErrorCode.MethodNotFound;

/** Maximum length of an error message that is sent, in characters. */
const MAX_MESSAGE_LENGTH = 500;

const KINDS: ReadonlySet<string> = new Set<ErrorKind>([
  'invalid',
  'conflict',
  'not-found',
  'unavailable',
  'timeout',
  'answer-lost',
  'too-large',
  'refused',
  'stale',
  'mismatch',
  'busy',
  'internal',
]);

/** Converts an error of a method to a JSON-RPC error. */
export function toWireError(error: StepError): JSONRPCErrorException {
  const isInvalid = error.kind === 'invalid';
  const code = isInvalid ? INVALID_CODE : STEP_ERROR_CODE;
  return new JSONRPCErrorException(error.message.slice(0, MAX_MESSAGE_LENGTH), code, {
    kind: error.kind,
  });
}

function findKind(thrown: unknown): ErrorKind {
  if (!(thrown instanceof JSONRPCErrorException)) return 'unavailable';
  if (thrown.code === TIMEOUT_CODE) return 'timeout';
  if (thrown.code === STEP_ERROR_CODE || thrown.code === INVALID_CODE) {
    const kind = (thrown.data as { kind?: unknown } | undefined)?.kind;
    return typeof kind === 'string' && KINDS.has(kind) ? (kind as ErrorKind) : 'internal';
  }
  if (thrown.code === NOT_FOUND_CODE) return 'not-found';
  return 'unavailable';
}

/** Converts an exception of a JSON-RPC request to an error of step `method` at `peer`. */
export function parseWireError(thrown: unknown, method: string, peer: string): StepError {
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return buildError(findKind(thrown), method, peer, message, thrown);
}
