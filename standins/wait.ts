/** Waits for a state of a stand-in that its own counters show. */
export async function waitUntil(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
}
