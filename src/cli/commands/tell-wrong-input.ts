/** Tells of input that is not allowed. */
import {type Failure} from '../../common/errors/failure.ts';
import {formatFailure} from '../describe-for-people.ts';
import {exitCodes, type ExitCode} from '../exit-codes.ts';
import {type Terminal} from '../types.ts';

/** Prints each failure on its line and gives the exit code for wrong input. */
export function reportInvalidInput(terminal: Terminal, ...failures: ReadonlyArray<Failure<string>>): ExitCode {
	for (const value of failures) {
		terminal.printError(`jaydale: ${formatFailure(value)}`);
	}

	return exitCodes.wrongInput;
}
