/** Exit codes of the command line: programs decide by them, so they never change their meaning. */

export const exitCodes = {
	/** Done. */
	done: 0,
	/** Not done: no VM answered, the platform's service was out, or this VM had a fault. Nothing was changed. */
	failed: 1,
	/** The input is not allowed: command, option, settings or resource. Nothing was changed. */
	wrongInput: 2,
	/** The resource, VM or call named does not exist. */
	notFound: 3,
	/** Another change came first. Nothing was changed. */
	conflict: 4,
	/** The change may or may not have been accepted; send it again with its operation identity. */
	unknown: 5,
	/** The operator is not known or may not do this. Nothing was changed. */
	notAllowed: 6,
	/** Accepted, but not in force on every VM within the time given by --wait. */
	notYetInForce: 7,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
