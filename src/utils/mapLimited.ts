/** Maps items with at most `limit` running at a time; the results keep the order of the items. */
export async function mapLimited<Item, Output>(
  items: readonly Item[],
  limit: number,
  run: (item: Item) => Promise<Output>,
): Promise<Output[]> {
  const outputs: Output[] = [];
  let next = 0;
  const work = async (): Promise<void> => {
    while (next < items.length) {
      const index = next;
      next += 1;
      outputs[index] = await run(items[index]!);
    }
  };
  await Promise.all(Array.from({ length: Math.min(limit, items.length) }, work));
  return outputs;
}
