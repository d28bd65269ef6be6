/** Defers a decision on a connection until the bytes that the kernel holds for it are read. */

/**
 * Runs a continuation once this thread has read all bytes that the kernel holds for it now. A connection whose next call is
 * still unread looks idle, and closing it would lose that call. The first immediate runs after the poll phase in progress;
 * the second one, scheduled from there, runs after the next complete poll phase.
 */
export function afterPendingReads(continuation: () => void): void {
	setImmediate(() => {
		setImmediate(continuation);
	});
}
