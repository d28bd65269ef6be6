/** Formats tables and durations for a terminal. */

/** Aligns rows under their headings, two spaces apart; numeric columns are right-aligned. */
export function formatTable(headings: readonly string[], rows: ReadonlyArray<readonly string[]>): string[] {
	const allRows = [headings, ...rows];
	const widths = headings.map((_, column) => Math.max(...allRows.map(line => line[column]!.length)));
	const isNumeric = headings.map((_, column) => rows.length > 0 && rows.every(row => /^(?:[\d.\-]+(?:%|x| ms)?|-)$/v.test(row[column]!)));
	return allRows.map(line => line
		.map((cell, column) => isNumeric[column] ? cell.padStart(widths[column]!) : cell.padEnd(widths[column]!))
		.join('  ')
		.trimEnd());
}

/** Formats a duration, such as `42 ms`, `3.4 s` or `12 min`. */
export function formatMilliseconds(value: number): string {
	if (value < 1000) {
		return `${Math.round(value)} ms`;
	}

	return value < 120_000 ? `${(value / 1000).toFixed(1)} s` : `${Math.round(value / 60_000)} min`;
}
