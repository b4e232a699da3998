/**
 * Decides whether a request may run for the key that it carries. It performs no I/O and takes the
 * current time as an argument.
 *
 * A removed key must stop working on every node, also on one that cannot be reached. A node
 * therefore accepts keys only while it has evidence, of known age, that it has missed no change of
 * the configuration. The bound on removed keys is shared out: a request may enter on evidence of up
 * to 0.8 of it, and must start at an instance, after all waits, second attempts and ways between
 * hosts, 0.08 before its end. The rest covers what the hosts know less well than that of each
 * other's clocks.
 */
import type { ClientAccount, MeshConfig, MeshRoute, RevocationPolicy } from '../model.js';
import { findAccount, hashKey } from './keys.js';

/** Share of the bound on removed keys that the evidence of a new request may be old. */
const MAX_ENTRY_AGE_SHARE = 0.8;

/** Share of the bound before whose end a request must have started. */
const START_RESERVE_SHARE = 0.08;

/** Identity that a request has proved with its key. */
export interface Identity {
  readonly account: ClientAccount;
  readonly keyDigest: string;
}

/** Why a key was refused. */
export type KeyRefusal =
  | 'key-missing'
  | 'key-unknown'
  /** Whether the configuration in force is the latest one is not known. */
  | 'config-unconfirmed';

/** Decision on the key of a request. */
export type Authorization =
  /** The request needs no key. */
  | { readonly kind: 'anonymous' }
  /** `untilMs` is the time until which the request may start, on the scale of `nowMs`. */
  | { readonly kind: 'account'; readonly identity: Identity; readonly untilMs: number | undefined }
  | { readonly kind: 'refused'; readonly reason: KeyRefusal };

/** What the node knows at the time of a decision. */
export interface AuthorizationContext {
  readonly config: MeshConfig;
  readonly policy: RevocationPolicy | undefined;
  /** Age of the evidence that no change of the configuration was missed, in milliseconds. */
  readonly evidenceAgeMs: number;
  readonly nowMs: number;
}

/** True while a request may enter on evidence of this age. */
function isConfirmed({ policy, evidenceAgeMs }: AuthorizationContext): boolean {
  return !policy || evidenceAgeMs <= policy.limitMs * MAX_ENTRY_AGE_SHARE;
}

/** Returns until when a request may start that enters now; undefined without a bound. */
function computeUntilMs({
  policy,
  evidenceAgeMs,
  nowMs,
}: AuthorizationContext): number | undefined {
  return policy && nowMs - evidenceAgeMs + policy.limitMs * (1 - START_RESERVE_SHARE);
}

/** A key may be unknown only because the configuration in force is behind. */
function refuseKey(
  { policy, evidenceAgeMs }: AuthorizationContext,
  reason: KeyRefusal,
): Authorization {
  const mayBeBehind = policy !== undefined && evidenceAgeMs > policy.configLimitMs;
  return { kind: 'refused', reason: mayBeBehind ? 'config-unconfirmed' : reason };
}

/** Decides on a request of `route` that came with `key`. */
export function authorize(
  route: Pick<MeshRoute, 'allowsAnonymous'>,
  key: string | undefined,
  context: AuthorizationContext,
): Authorization {
  const { accounts = [] } = context.config;
  if (accounts.length === 0 || route.allowsAnonymous) return { kind: 'anonymous' };
  if (key === undefined) return refuseKey(context, 'key-missing');
  const keyDigest = hashKey(key);
  const account = findAccount(accounts, keyDigest);
  if (!account) return refuseKey(context, 'key-unknown');
  if (!isConfirmed(context)) return { kind: 'refused', reason: 'config-unconfirmed' };
  return {
    kind: 'account',
    identity: { account, keyDigest },
    untilMs: computeUntilMs(context),
  };
}

/** Decides again on a request that has entered and is about to be sent to an instance. */
export function reauthorize(
  { account, keyDigest }: Identity,
  context: AuthorizationContext,
): Authorization {
  const known = findAccount(context.config.accounts ?? [], keyDigest);
  if (known?.name !== account.name) return refuseKey(context, 'key-unknown');
  if (!isConfirmed(context)) return { kind: 'refused', reason: 'config-unconfirmed' };
  return {
    kind: 'account',
    identity: { account: known, keyDigest },
    untilMs: computeUntilMs(context),
  };
}
