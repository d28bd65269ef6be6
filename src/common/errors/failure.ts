/**
 * Failures as values: every one has a kind from a closed set, a sentence for people, and where it
 * applies the field at fault and the failure beneath it. They travel in neverthrow's `Result`.
 */
import {Maybe} from 'true-myth/maybe';

/** A typed failure; `Kind` is a union of string literals that its module declares. */
export type Failure<Kind extends string> = {
	readonly kind: Kind;
	/** One sentence for people: what was found and what is allowed. */
	readonly message: string;
	/** Path of the field at fault, such as `service.measuring.tailWeight`. */
	readonly field: Maybe<string>;
	readonly cause: Maybe<Failure<string>>;
};

/** Makes a failure. */
export function failure<Kind extends string>(
	kind: Kind,
	message: string,
	details: {readonly field?: string; readonly cause?: Failure<string>} = {},
): Failure<Kind> {
	return {
		kind,
		message,
		field: Maybe.of(details.field),
		cause: Maybe.of(details.cause),
	};
}

/** The failure and those beneath it as one line for logs and terminals. */
export function describeFailure(value: Failure<string>): string {
	const place = value.field.match({Just: field => `${field}: `, Nothing: () => ''});
	const cause = value.cause.match({Just: beneath => `; caused by ${describeFailure(beneath)}`, Nothing: () => ''});
	return `${place}${value.message} (${value.kind})${cause}`;
}
