/** Formats rows as columns of equal width, separated by two spaces. */
export function formatTable(header: readonly string[], rows: readonly string[][]): string {
  const all = [[...header], ...rows];
  const widths = header.map((_, column) =>
    Math.max(...all.map((row) => (row[column] ?? '').length)),
  );
  return all
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column]!))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
