/** Random mutations of JSON values, for fuzz tests of untrusted input. */
import fc from 'fast-check';

type Json = unknown;

/** Values that often reveal a missing check: wrong types, numeric limits, special names. */
const INVALID_VALUES: readonly Json[] = [
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

/** One mutation; `place` is taken modulo the number of places in the value. */
export interface Mutation {
  readonly place: number;
  readonly kind: 'replace' | 'remove' | 'repeat';
  readonly value: Json;
}

/** Arbitrary of one to three mutations. */
export const mutations = fc.array(
  fc.record({
    place: fc.nat(),
    kind: fc.constantFrom<Mutation['kind']>('replace', 'replace', 'remove', 'repeat'),
    value: fc.oneof(fc.constantFrom(...INVALID_VALUES), fc.jsonValue()),
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

function applyMutation(value: Json, { place, kind, value: replacement }: Mutation): void {
  const places = listPlaces(value);
  const chosen = places[place % Math.max(1, places.length)];
  if (!chosen) return;
  const { parent, key } = chosen;
  switch (kind) {
    case 'replace':
      // Cloned because a later mutation may change the value.
      parent[key] = structuredClone(replacement);
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

/** Returns a copy of a message with the mutations applied. */
export function applyMutations(message: object, list: readonly Mutation[]): object {
  const copy = JSON.parse(JSON.stringify(message)) as object;
  for (const mutation of list) applyMutation(copy, mutation);
  return copy;
}
