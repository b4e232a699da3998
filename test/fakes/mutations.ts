/** Random damage to JSON values, for tests of inputs from outside. */
import fc from 'fast-check';

type Json = unknown;

/** Values that often meet a missing check: wrong types, limits of numbers, special names. */
const JUNK: readonly Json[] = [
  null,
  true,
  '',
  '__proto__',
  '\u0000\ud800',
  'x'.repeat(70_000),
  -1,
  0.5,
  1e308,
  2 ** 53,
  [],
  {},
  [[]],
  { constructor: { prototype: {} } },
];

/** One damage: the place is taken modulo the number of places in the value. */
export interface Damage {
  readonly place: number;
  readonly kind: 'replace' | 'remove' | 'repeat';
  readonly value: Json;
}

/** Arbitrary damage of a few places. */
export const damages = fc.array(
  fc.record({
    place: fc.nat(),
    kind: fc.constantFrom<Damage['kind']>('replace', 'replace', 'remove', 'repeat'),
    value: fc.oneof(fc.constantFrom(...JUNK), fc.jsonValue()),
  }),
  { minLength: 1, maxLength: 3 },
);

interface Place {
  readonly parent: Record<string, Json>;
  readonly key: string;
}

function listPlaces(parent: Json): Place[] {
  if (typeof parent !== 'object' || parent === null) return [];
  const record = parent as Record<string, Json>;
  return Object.keys(record).flatMap((key) => [
    { parent: record, key },
    ...listPlaces(record[key]),
  ]);
}

function applyOne(value: Json, { place, kind, value: junk }: Damage): void {
  const places = listPlaces(value);
  const chosen = places[place % Math.max(1, places.length)];
  if (!chosen) return;
  const { parent, key } = chosen;
  switch (kind) {
    case 'replace':
      // A later damage may change it.
      parent[key] = structuredClone(junk);
      return;
    case 'remove':
      delete parent[key];
      return;
    case 'repeat':
      parent[key] = [parent[key], parent[key]];
      return;
    default:
      kind satisfies never;
  }
}

/** Returns a damaged copy of a message. */
export function applyDamages(message: object, list: readonly Damage[]): object {
  const copy = JSON.parse(JSON.stringify(message)) as object;
  for (const damage of list) applyOne(copy, damage);
  return copy;
}
