/** Bounds the memory of answers that cannot be paused while their callers read slowly. */

/** An answer that is buffered for its caller. */
export type UnpausedAnswer = {
	/** Closes the connection of the caller so that the answer does not look complete. */
	cut(): void;
};

/** Default bound for all such answers of a process together. */
export const defaultUnpausedBytes = 32 * 1024 * 1024;

/**
 * A backend server can send an answer without a length, and without an end, faster than its caller reads it. Beyond the
 * bound, the answer with the largest backlog is cut, so that one of them cannot use up the memory of the others.
 */
export class UnpausedAnswers {
	private readonly _maxBytes: number;
	private readonly _backlogs = new Map<UnpausedAnswer, number>();

	/** `maxBytes` = bound for all answers together. */
	constructor(maxBytes = defaultUnpausedBytes) {
		this._maxBytes = maxBytes;
	}

	/** Sets the bytes that wait for the answer's caller; 0 = the answer has ended, or its caller has read all of it. */
	set(answer: UnpausedAnswer, bytes: number): void {
		if (bytes === 0) {
			this._backlogs.delete(answer);
			return;
		}

		this._backlogs.set(answer, bytes);
		let total = 0;
		let largest: readonly [UnpausedAnswer, number] = [answer, bytes];
		for (const backlog of this._backlogs) {
			total += backlog[1];
			largest = backlog[1] > largest[1] ? backlog : largest;
		}

		if (total > this._maxBytes) {
			this._backlogs.delete(largest[0]);
			largest[0].cut();
		}
	}
}
