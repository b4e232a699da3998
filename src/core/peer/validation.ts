/** Schema validation of messages between nodes. */
import { err, ok, type Result } from 'neverthrow';
import { buildError, type StepError } from '../../errors.js';
import {
  validateConfigFetch,
  validateConfigFetchAnswer,
  validateConfigFloor,
  validateConfigFloorAnswer,
  validateConfigNotify,
  validateMembersBuckets,
  validateMembersBucketsAnswer,
  validateMembersLookup,
  validateMembersLookupAnswer,
  validateMembersPush,
  validateMembersSummary,
  validateMembersSummaryAnswer,
  validatePing,
  validatePingIndirect,
  validatePingIndirectAnswer,
  validateStatusCollect,
  type Validator,
} from '../../generated/validators.js';

/** Validators of one method. Answers to notifications and status requests are not validated. */
interface MethodSchema {
  readonly params: Validator;
  readonly answer?: Validator;
}

const METHODS: Readonly<Record<string, MethodSchema>> = {
  ping: { params: validatePing, answer: validatePing },
  pingIndirect: { params: validatePingIndirect, answer: validatePingIndirectAnswer },
  'members.buckets': { params: validateMembersBuckets, answer: validateMembersBucketsAnswer },
  'members.summary': { params: validateMembersSummary, answer: validateMembersSummaryAnswer },
  'members.lookup': { params: validateMembersLookup, answer: validateMembersLookupAnswer },
  'members.push': { params: validateMembersPush },
  'config.notify': { params: validateConfigNotify },
  'config.fetch': { params: validateConfigFetch, answer: validateConfigFetchAnswer },
  'config.floor': { params: validateConfigFloor, answer: validateConfigFloorAnswer },
  'status.get': { params: validateStatusCollect },
  'status.collect': { params: validateStatusCollect },
};

function check(
  validator: Validator | undefined,
  value: unknown,
  step: string,
  peer: string,
): Result<object, StepError> {
  if (typeof value !== 'object' || value === null) {
    return err(buildError('invalid', step, peer, 'not an object'));
  }
  if (!validator || validator(value)) return ok(value);
  const fault = validator.errors?.[0];
  const where = fault?.instancePath || '/';
  return err(buildError('invalid', step, peer, `${where} ${fault?.message ?? 'is invalid'}`));
}

/** Returns whether a method exists in the protocol. */
export function isKnownMethod(method: string): boolean {
  return Object.hasOwn(METHODS, method);
}

/** Validates the parameters of a method; unknown methods are refused. */
export function checkParams(method: string, params: unknown, peer: string) {
  const schema = isKnownMethod(method) ? METHODS[method] : undefined;
  if (!schema) return err(buildError('not-found', method, peer, 'unknown method'));
  return check(schema.params, params, method, peer);
}

/** Validates the answer to a method. */
export function checkAnswer(method: string, answer: unknown, peer: string) {
  return check(METHODS[method]?.answer, answer, method, peer);
}
