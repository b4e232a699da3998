/** Keys that make a call run at most once: tokens and caller-supplied UUIDv7 keys. */
import { ok, type Result } from 'neverthrow';
import { v7 as createUuid } from 'uuid';
import type { CallKey } from '../../types/calls.js';
import { brandText, type NodeId } from '../../types/ids.js';
import { parseUuidTime } from '../../utils/uuidTime.js';
import { refuse, type Refusal } from './refusal.js';

const NO_KEY: CallKey = { kind: 'none' };
const TOKEN_PREFIX = 'lt1.';
const TOKEN = /^lt1\.([\w-]{1,200})\.([\w-]{1,200})\.([\w-]{8,64})$/;

/** Creates a token that only the named process may dispatch. */
export function createToken(nodeId: string, incarnation: string): string {
  const encode = (text: string) => Buffer.from(text).toString('base64url');
  // The time in a UUIDv7 tells the request memory when it may forget the token.
  return `${TOKEN_PREFIX}${encode(nodeId)}.${encode(incarnation)}.${createUuid()}`;
}

function parseToken(text: string): Result<CallKey, Refusal> {
  const parts = TOKEN.exec(text);
  if (!parts) return refuse('bad-request', 'idempotency-key is a malformed token');
  const [, nodeId = '', incarnation = '', nonce = ''] = parts;
  return ok({
    kind: 'token',
    nodeId: brandText<NodeId>(Buffer.from(nodeId, 'base64url').toString()),
    incarnation: Buffer.from(incarnation, 'base64url').toString(),
    nonce,
  });
}

/**
 * Parses the `idempotency-key` header. A token is honoured on every route. A UUIDv7 key is
 * honoured on `once` routes; elsewhere the header is an ordinary one and passes through.
 */
export function parseCallKey(
  header: string | string[] | undefined,
  isOnce: boolean,
): Result<CallKey, Refusal> {
  if (header === undefined) return ok(NO_KEY);
  const text = typeof header === 'string' ? header : header.join(',');
  if (text.startsWith(TOKEN_PREFIX)) return parseToken(text);
  if (!isOnce) return ok(NO_KEY);
  const issuedAtMs = parseUuidTime(text);
  if (issuedAtMs === undefined) {
    return refuse('bad-request', 'idempotency-key is neither a token nor a UUIDv7');
  }
  return ok({ kind: 'uuid', text: text.toLowerCase(), issuedAtMs });
}
