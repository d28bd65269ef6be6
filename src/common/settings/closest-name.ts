/** Suggestions for mistyped words on the command line, in settings and in resources. */

/** Maximum number of edits for a suggestion; beyond it the match is arbitrary. */
const maxEdits = 3;
/** One edit is allowed for each of so many letters; with more edits it is probably a different word. */
const lettersPerEdit = 3;

/** Returns the candidate with the smallest edit distance to the word; undefined if none is within the limit. */
export function closestName(word: string, candidates: readonly string[]): string | undefined {
	const allowed = Math.min(maxEdits, Math.max(1, Math.floor(word.length / lettersPerEdit)));
	let best: string | undefined;
	let bestEdits = allowed + 1;
	for (const candidate of candidates) {
		const edits = editDistance(word.toLowerCase(), candidate.toLowerCase());
		if (edits < bestEdits) {
			best = candidate;
			bestEdits = edits;
		}
	}

	return best;
}

/** Counts insertions, deletions, replacements and swaps of adjacent letters (optimal string alignment distance), computed row by row. */
function editDistance(from: string, to: string): number {
	let previousRow: number[] = [];
	let row = Array.from({length: to.length + 1}, (_, index) => index);
	for (let line = 1; line <= from.length; line++) {
		const next = [line];
		for (let column = 1; column <= to.length; column++) {
			const replaced = row[column - 1]! + (from[line - 1] === to[column - 1] ? 0 : 1);
			const isSwap = line > 1 && column > 1 && from[line - 1] === to[column - 2] && from[line - 2] === to[column - 1];
			const swapped = isSwap ? previousRow[column - 2]! + 1 : replaced;
			next.push(Math.min(replaced, swapped, row[column]! + 1, next[column - 1]! + 1));
		}

		previousRow = row;
		row = next;
	}

	return row[to.length]!;
}
