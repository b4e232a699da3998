/** Events of a played time in their order: a binary heap, since a model has many of them. */

interface Event {
  readonly atMs: number;
  /** Position in the order of addition, which separates events of one instant. */
  readonly index: number;
  readonly run: () => void;
}

function isBefore(one: Event, other: Event): boolean {
  return one.atMs < other.atMs || (one.atMs === other.atMs && one.index < other.index);
}

export class Timeline {
  nowMs = 0;

  private readonly heap: Event[] = [];

  private added = 0;

  /** Adds an event that runs `delayMs` from now. */
  add(delayMs: number, run: () => void): void {
    this.added += 1;
    const event: Event = { atMs: this.nowMs + delayMs, index: this.added, run };
    const { heap } = this;
    let index = heap.push(event) - 1;
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      if (!isBefore(event, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = event;
  }

  /** Runs all events, those that they add included. */
  play(): void {
    for (let event = this.removeFirst(); event; event = this.removeFirst()) {
      this.nowMs = event.atMs;
      event.run();
    }
  }

  private removeFirst(): Event | undefined {
    const { heap } = this;
    const [first] = heap;
    const last = heap.pop();
    if (!first || !last || heap.length === 0) return first;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) child += 1;
      if (!isBefore(heap[child]!, last)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
    return first;
  }
}

/**
 * Returns a generator of pseudorandom numbers from 0 to 1, the same for each seed (Park and
 * Miller's minimal standard).
 */
export function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 48_271) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}
