/** Failures as sentences for a terminal. */
import {type Failure} from '../common/errors/failure.ts';

/** The place, the sentence and the causes beneath; kinds are for programs and left out. */
export function describeForPeople(value: Failure<string>): string {
	const place = value.field.match({Just: field => `${field}: `, Nothing: () => ''});
	const cause = value.cause.match({Just: beneath => `: ${describeForPeople(beneath)}`, Nothing: () => ''});
	return `${place}${value.message}${cause}`;
}
