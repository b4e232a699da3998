/** Deep freezing of routing states, since a call uses one state from its start to its end. */

/** Freezes a JSON-like value recursively. */
export function freezeDeep<Value>(value: Value): Value {
  if (value === null || typeof value !== 'object' || Object.isFrozen(value)) return value;
  Object.freeze(value);
  Object.values(value).forEach(freezeDeep);
  return value;
}

function rejectMutation(): never {
  throw new TypeError('a routing state is immutable');
}

/** Makes the mutating methods of a map throw, since `Object.freeze` does not protect entries. */
export function freezeMap<Key, Value>(map: Map<Key, Value>): ReadonlyMap<Key, Value> {
  return Object.freeze(
    Object.assign(map, { set: rejectMutation, delete: rejectMutation, clear: rejectMutation }),
  );
}
