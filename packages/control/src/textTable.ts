/** Formats rows as aligned columns. The first row is the heading. */
export function textTable(rows: readonly (readonly string[])[]): string {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => (row[column] ?? '').length)),
  );
  return rows.map((row) => textRow(row, widths)).join('\n');
}

function textRow(row: readonly string[], widths: readonly number[]): string {
  return row
    .map((cell, column) => cell.padEnd(widths[column] ?? 0))
    .join('  ')
    .trimEnd();
}
