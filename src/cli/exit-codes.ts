/** Exit codes of the command line. Scripts depend on them, so their meaning must not change. */

export const exitCodes = {
	/** The command succeeded. */
	done: 0,
	/** The command failed: no VM answered, the platform's service was unavailable, or the VM had an internal error. Nothing was changed. */
	failed: 1,
	/** Invalid command, option, settings or resource. Nothing was changed. */
	wrongInput: 2,
	/** The named resource, VM, operation or call does not exist. */
	notFound: 3,
	/** Another change was made first. Nothing was changed by this one. */
	conflict: 4,
	/** The change may or may not have been accepted. Sending it again with the same operation id gives its outcome. */
	unknown: 5,
	/** The operator is unknown or lacks the permission. Nothing was changed. */
	notAllowed: 6,
	/** The change was accepted, but did not come into force on every VM within the time of `--wait`. */
	notYetInForce: 7,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
