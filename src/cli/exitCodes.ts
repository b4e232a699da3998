import type { StepError } from '../errors.js';

/** Exit codes of the command line. */
export const EXIT_CODES = {
  done: 0,
  failed: 1,
  /** Usage error or invalid files. */
  faulty: 2,
  /** Conflict with another edit. */
  conflict: 3,
  /** It is unknown whether the operation was accepted. */
  unknown: 4,
  /** Accepted, but not enforced by all nodes within the time limit. */
  notRolledOut: 5,
} as const;

/** Steps whose errors are caused by the operator's files. */
const FILE_STEPS: readonly string[] = ['config.files', 'config.parent'];

/** Returns the exit code of an error; usage errors and invalid files have a code of their own. */
export function getExitCode({ step, kind }: StepError): number {
  if (kind === 'conflict') return EXIT_CODES.conflict;
  const isUsage = step.startsWith('config.') && (kind === 'refused' || kind === 'stale');
  return isUsage || FILE_STEPS.includes(step) ? EXIT_CODES.faulty : EXIT_CODES.failed;
}

/** Sets the exit code of the process and returns the value that `--json` prints. */
export function finishCommand<Value>(exitCode: number, value: Value): Value {
  process.exitCode = exitCode;
  return value;
}
