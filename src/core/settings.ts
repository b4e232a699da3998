/** Loads the daemon's settings: JSON with comments, validated against a schema. */
import { readFile } from 'node:fs/promises';
import { isIP } from 'node:net';
import { findNodeAtLocation, getNodeValue, parseTree } from 'jsonc-parser';
import type { Node, ParseError } from 'jsonc-parser';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { buildError, toStepError } from '../errors.js';
import type { StepError } from '../errors.js';
import type { Settings } from '../generated/types.js';
import { validateSettings } from '../generated/validators.js';
import type { ValidationFault } from '../generated/validators.js';
import { isLoopback, isSameAddress, normalizeAddress } from '../utils/address.js';
import { describeParseError } from '../utils/describeParseError.js';
import { locateOffset } from '../utils/locateOffset.js';

const MAX_SETTINGS_BYTES = 1_048_576;
const STEP = 'settings.load';

function describeFault(fault: ValidationFault): string {
  const path = fault.instancePath === '' ? '/' : fault.instancePath;
  switch (fault.keyword) {
    case 'additionalProperties':
      return `${path}: unknown key "${String(fault.params.additionalProperty)}"`;
    case 'enum':
      return `${path}: must be one of ${JSON.stringify(fault.params.allowedValues)}`;
    default:
      return `${path}: ${fault.message ?? fault.keyword}`;
  }
}

function locateFault(tree: Node, fault: ValidationFault): number {
  const segments = fault.instancePath.split('/').slice(1);
  const path = segments.map((part) => (/^\d+$/.test(part) ? Number(part) : part));
  return findNodeAtLocation(tree, path)?.offset ?? tree.offset;
}

function listRuleFaults(settings: Settings): string[] {
  const faults: string[] = [];
  if (isIP(settings.host) === 0) faults.push('/host: must be an IP address');
  if (!isLoopback(settings.operatorHost) && settings.operatorToken === undefined) {
    faults.push('/operatorToken: is required because /operatorHost is not a loopback address');
  }
  if (!isLoopback(settings.announceHost) && !isSameAddress(settings.announceHost, settings.host)) {
    faults.push('/announceHost: must be a loopback address or the address in /host');
  }
  if (settings.distribution.fetchTimeoutMs > settings.distribution.directReadAfterMs) {
    faults.push('/distribution/fetchTimeoutMs: must not exceed directReadAfterMs');
  }
  return faults;
}

/** Parses and validates a settings file; the error message has one line for each fault. */
export function parseSettings(text: string, file: string): Result<Settings, StepError> {
  const syntaxErrors: ParseError[] = [];
  const tree = parseTree(text, syntaxErrors, { allowTrailingComma: true });
  const formatPosition = (offset: number) => {
    const { line, column } = locateOffset(text, offset);
    return `${file}:${line}:${column}`;
  };
  if (syntaxErrors.length > 0 || tree === undefined) {
    const lines = syntaxErrors.map(
      (fault) => `${formatPosition(fault.offset)}: ${describeParseError(fault.error)}`,
    );
    return err(buildError('invalid', STEP, file, lines.join('\n') || `${file}: the file is empty`));
  }
  const value = getNodeValue(tree) as Settings;
  const lines: string[] = [];
  if (!validateSettings(value)) {
    for (const fault of validateSettings.errors ?? []) {
      lines.push(`${formatPosition(locateFault(tree, fault))}: ${describeFault(fault)}`);
    }
  } else {
    lines.push(...listRuleFaults(value).map((fault) => `${file}: ${fault}`));
  }
  if (lines.length > 0) return err(buildError('invalid', STEP, file, lines.join('\n')));
  // Hosts are compared as strings, for instance a node's own host with those of seeds.
  value.host = normalizeAddress(value.host);
  for (const seed of value.seeds) seed.host = normalizeAddress(seed.host);
  return ok(value);
}

/** Reads, parses and validates a settings file. */
export async function loadSettings(file: string): Promise<Result<Settings, StepError>> {
  try {
    const text = await readFile(file, 'utf8');
    if (Buffer.byteLength(text) > MAX_SETTINGS_BYTES) {
      return err(buildError('too-large', STEP, file, `larger than ${MAX_SETTINGS_BYTES} bytes`));
    }
    return parseSettings(text, file);
  } catch (thrown) {
    return err(toStepError(thrown, STEP, file));
  }
}
