/** Reports invalid input. */
import {type Failure} from '../../common/errors/failure.ts';
import {formatFailure} from '../format-failure.ts';
import {exitCodes, type ExitCode} from '../exit-codes.ts';
import {type Terminal} from '../types.ts';

/** Prints each failure on a line of its own, and returns the exit code for invalid input. */
export function reportInvalidInput(terminal: Terminal, ...failures: ReadonlyArray<Failure<string>>): ExitCode {
	for (const value of failures) {
		terminal.printError(`jaydale: ${formatFailure(value)}`);
	}

	return exitCodes.wrongInput;
}
