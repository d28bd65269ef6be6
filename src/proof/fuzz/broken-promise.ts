/** More findings than this are consequences of the first. */
const mostFindings = 8;

/** What fast-check reports as the reason of a failed history. */
export class BrokenPromise extends Error {
	override readonly name = 'BrokenPromise';

	/** Ends the history if anything was found to be wrong. */
	static throwIfAny(findings: readonly string[]): void {
		if (findings.length > 0) {
			throw new BrokenPromise(findings.slice(0, mostFindings).join('\n'));
		}
	}
}
