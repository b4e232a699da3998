/** Deep freezing, so that a call can keep the routing state it started with. */

/** Freezes a JSON-like value and everything in it. */
export function freezeDeep<Value>(value: Value): Value {
  if (value === null || typeof value !== 'object' || Object.isFrozen(value)) return value;
  Object.freeze(value);
  Object.values(value).forEach(freezeDeep);
  return value;
}

function rejectMutation(): never {
  throw new TypeError('a routing state is immutable');
}

/** Makes the changing methods of a map throw; `Object.freeze` alone does not protect a map. */
export function freezeMap<Key, Value>(map: Map<Key, Value>): ReadonlyMap<Key, Value> {
  return Object.freeze(
    Object.assign(map, { set: rejectMutation, delete: rejectMutation, clear: rejectMutation }),
  );
}
