/**
 * Failures as values. Each has a kind from a closed set, a message for people and, where applicable, the invalid field and
 * the failure that caused it. Functions return them in neverthrow's `Result`.
 */
import {Maybe} from 'true-myth/maybe';

/** A typed failure; `Kind` is a union of string literals declared by the module that returns it. */
export type Failure<Kind extends string> = {
	readonly kind: Kind;
	/** One sentence for people that states what was found and what is allowed. */
	readonly message: string;
	/** Path of the invalid field, such as `service.measuring.tailWeight`. */
	readonly field: Maybe<string>;
	readonly cause: Maybe<Failure<string>>;
};

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

/** Formats a failure and its chain of causes as one line for logs and terminals. */
export function describeFailure(value: Failure<string>): string {
	const place = value.field.match({Just: field => `${field}: `, Nothing: () => ''});
	const cause = value.cause.match({Just: beneath => `; caused by ${describeFailure(beneath)}`, Nothing: () => ''});
	return `${place}${value.message} (${value.kind})${cause}`;
}
