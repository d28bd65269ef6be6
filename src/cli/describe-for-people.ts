/** Failures as sentences for a terminal. */
import {type Failure} from '../common/errors/failure.ts';

/** The place, the sentence and the causes beneath; kinds are for programs and left out. */
export function formatFailure(value: Failure<string>): string {
	const location = value.field.match({Just: field => `${field}: `, Nothing: () => ''});
	const cause = value.cause.match({Just: inner => `: ${formatFailure(inner)}`, Nothing: () => ''});
	return `${location}${value.message}${cause}`;
}
