/** The terminal of the real process. */
import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {setTimeout as pause} from 'node:timers/promises';
import {ResultAsync} from 'neverthrow';
import {request as sendRequest} from 'undici';
import {failure} from '../common/errors/failure.ts';
import {type Terminal} from './types.ts';

/** Standard input is read as a stream: reading its descriptor at once fails while a pipe is empty. */
const readText = ResultAsync.fromThrowable(
	async (path: string) => path === '-' ? text(process.stdin) : readFile(path, 'utf8'),
	error => failure('unreadable-file', `the file cannot be read: ${error instanceof Error ? error.message : String(error)}`),
);

/** Makes a terminal that ends its signal on Ctrl-C. */
export function processTerminal(): Terminal {
	const interruptController = new AbortController();
	let hasInterruptHandler = false;
	// Whoever read the output has gone, as with `jaydale watch | head -1`: nobody is left to work for.
	process.stdout.on('error', () => {
		interruptController.abort();
	});
	return {
		print(line) {
			process.stdout.write(`${line}\n`);
		},
		printError(line) {
			process.stderr.write(`${line}\n`);
		},
		environment: process.env,
		readText,
		async exchange(url, request) {
			// Not `fetch`, which refuses some ports that an operator may choose.
			const answer = await sendRequest(url, request);
			return {status: answer.statusCode, text: async () => answer.body.text()};
		},
		async sleep(milliseconds) {
			try {
				await pause(milliseconds, undefined, {signal: interruptController.signal});
			} catch {
				// Ended early by the signal; whoever waits looks at it.
			}
		},
		now: () => performance.now(),
		get signal() {
			// Only commands that ask for it: the daemon has its own way to stop.
			if (!hasInterruptHandler) {
				hasInterruptHandler = true;
				process.once('SIGINT', () => {
					interruptController.abort();
				});
			}

			return interruptController.signal;
		},
		newOperationId: () => randomUUID(),
	};
}
