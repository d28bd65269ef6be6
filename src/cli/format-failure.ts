/** Formats failures as messages for a terminal. */
import {type Failure} from '../common/errors/failure.ts';

/** Joins the field, the message and the messages of the causes. Omits the kind, which only programs use. */
export function formatFailure(value: Failure<string>): string {
	const location = value.field.match({Just: field => `${field}: `, Nothing: () => ''});
	const cause = value.cause.match({Just: inner => `: ${formatFailure(inner)}`, Nothing: () => ''});
	return `${location}${value.message}${cause}`;
}
