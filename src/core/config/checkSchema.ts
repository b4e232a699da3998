/** Converts the faults of the generated validators into faults that operators can act on. */
import { CONFIG_KEYS } from '../../generated/configKeys.js';
import type { ValidationFault, Validator } from '../../generated/validators.js';
import { parsePointer, type ConfigFault, type JsonPath } from './configFault.js';
import { suggestName } from './suggestName.js';

/** A fault before it is known which file has to change. */
export type SchemaFault = Omit<ConfigFault, 'site'>;

function getKnownKeys(path: JsonPath): readonly string[] {
  const [kind, , ...rest] = path;
  const pattern = path.length < 2 ? path : [kind, '*', ...rest];
  return CONFIG_KEYS[pattern.join('/')] ?? [];
}

function describeUnknownKey(path: JsonPath, key: string): SchemaFault {
  const known = getKnownKeys(path);
  const suggestion = suggestName(key, known);
  const expected = suggestion ? `"${suggestion}"` : `one of ${known.join(', ')}`;
  return { path: [...path, key], atKey: true, message: `unknown key "${key}"`, expected };
}

const COMPARISONS: Readonly<Record<string, string>> = {
  '>=': 'at least',
  '<=': 'at most',
  '>': 'more than',
  '<': 'less than',
};

function formatTypes(type: unknown): string {
  const names = (Array.isArray(type) ? type : String(type).split(',')) as string[];
  return names.map((name) => (name === 'null' ? 'null (deletes the key)' : name)).join(' or ');
}

function formatAllowed(values: unknown): string {
  const texts = (values as unknown[]).filter((value) => value !== null);
  return `one of ${texts.map((value) => JSON.stringify(value)).join(', ')}`;
}

function describeFault(fault: ValidationFault, path: JsonPath): SchemaFault {
  const { params } = fault;
  const build = (message: string, expected: string, atKey = false) => ({
    path,
    atKey,
    message,
    expected,
  });
  switch (fault.keyword) {
    case 'additionalProperties':
      return describeUnknownKey(path, String(params.additionalProperty));
    case 'required':
      return build(
        `missing key "${String(params.missingProperty)}"`,
        `a value for "${String(params.missingProperty)}"`,
        true,
      );
    case 'propertyNames':
      return {
        path: [...path, String(params.propertyName)],
        atKey: true,
        message: `bad name "${String(params.propertyName)}"`,
        expected: 'lower-case letters, digits and hyphens, at most 63, not starting with a hyphen',
      };
    case 'type':
      return build('wrong type', formatTypes(params.type));
    case 'enum':
      return build('value not allowed', formatAllowed(params.allowedValues));
    case 'minimum':
    case 'maximum':
    case 'exclusiveMinimum':
    case 'exclusiveMaximum':
      return build(
        'number out of range',
        `${COMPARISONS[String(params.comparison)]} ${String(params.limit)}`,
      );
    case 'pattern':
      return build('text has the wrong form', `a match of ${String(params.pattern)}`);
    default:
      return build(`fails ${fault.keyword}`, fault.message ?? fault.keyword);
  }
}

/** True for faults that repeat another: branches of the `null` alternative, inner name checks. */
function isSecondary(fault: ValidationFault): boolean {
  if (fault.keyword === 'anyOf') return true;
  if (fault.keyword === 'type' && fault.params.type === 'null') return true;
  return fault.schemaPath.includes('/propertyNames/') && fault.keyword !== 'propertyNames';
}

/** Runs a validator, which fills in defaults in `value`, and lists every fault. */
export function checkSchema(validate: Validator, value: unknown): SchemaFault[] {
  if (validate(value)) return [];
  return (validate.errors ?? [])
    .filter((fault) => !isSecondary(fault))
    .map((fault) => describeFault(fault, parsePointer(fault.instancePath, value)));
}
