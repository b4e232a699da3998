/** Maps items with at most `limit` concurrent calls; the results are in the order of the items. */
export async function mapLimited<Item, Output>(
  items: readonly Item[],
  limit: number,
  run: (item: Item) => Promise<Output>,
): Promise<Output[]> {
  const outputs: Output[] = [];
  let nextIndex = 0;
  const runWorker = async (): Promise<void> => {
    while (nextIndex < items.length) {
      const index = nextIndex;
      nextIndex += 1;
      outputs[index] = await run(items[index]!);
    }
  };
  await Promise.all(Array.from({ length: Math.min(limit, items.length) }, runWorker));
  return outputs;
}
