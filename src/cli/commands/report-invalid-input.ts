/** Tells of input that is not allowed. */
import {type Failure} from '../../common/errors/failure.ts';
import {describeForPeople} from '../format-failure.ts';
import {exitCodes, type ExitCode} from '../exit-codes.ts';
import {type Terminal} from '../types.ts';

/** Prints each failure on its line and gives the exit code for wrong input. */
export function tellWrongInput(terminal: Terminal, ...failures: ReadonlyArray<Failure<string>>): ExitCode {
	for (const value of failures) {
		terminal.complain(`jaydale: ${describeForPeople(value)}`);
	}

	return exitCodes.wrongInput;
}
