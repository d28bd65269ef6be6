/** Suggestions for mistyped words on the command line, in settings and in resources. */

/** More edits than this and a suggestion would be a guess. */
const mostEdits = 3;

/** The candidate that is fewest edits away from the word; undefined if none is near. */
export function closestName(word: string, candidates: readonly string[]): string | undefined {
	const allowed = Math.min(mostEdits, Math.floor(word.length / 2));
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

/** Levenshtein distance, one row at a time. */
function editDistance(from: string, to: string): number {
	let row = Array.from({length: to.length + 1}, (_, index) => index);
	for (let line = 1; line <= from.length; line++) {
		const next = [line];
		for (let column = 1; column <= to.length; column++) {
			const replaced = row[column - 1]! + (from[line - 1] === to[column - 1] ? 0 : 1);
			next.push(Math.min(replaced, row[column]! + 1, next[column - 1]! + 1));
		}

		row = next;
	}

	return row[to.length]!;
}
