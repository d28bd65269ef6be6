/** Formats plain-text tables for a terminal. */

/** Aligns a header and rows: the first column left, all others right. Each row must have as many cells as the header. */
export function textTable(header: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const widths = header.map((title, column) => Math.max(title.length, ...rows.map(row => row[column]?.length ?? 0)));
	const line = (cells: readonly string[]): string => cells
		.map((cell, column) => column === 0 ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!))
		.join('  ')
		.trimEnd();
	return [line(header), line(widths.map(width => '-'.repeat(width))), ...rows.map(row => line(row))].join('\n');
}
