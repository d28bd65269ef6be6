/** Findings after the first ones are usually consequences of them, so the message is limited to this number. */
const maxFindings = 8;

/** Fails a history; fast-check reports its message. */
export class GuaranteeViolationError extends Error {
	override readonly name = 'GuaranteeViolationError';

	/** Throws if there are findings. */
	static throwIfAny(findings: readonly string[]): void {
		if (findings.length > 0) {
			throw new GuaranteeViolationError(findings.slice(0, maxFindings).join('\n'));
		}
	}
}
