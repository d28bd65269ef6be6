/** The `Terminal` of the current process. */
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

/** Reads standard input as a stream: a read of its file descriptor fails while a pipe is still empty. */
const readText = ResultAsync.fromThrowable(
	async (path: string) => path === '-' ? text(process.stdin) : readFile(path, 'utf8'),
	error => failure('unreadable-file', `the file cannot be read: ${error instanceof Error ? error.message : String(error)}`),
);

/** Creates a terminal whose signal aborts on Ctrl-C, or when standard output closes. */
export function processTerminal(): Terminal {
	const interruptController = new AbortController();
	let hasInterruptHandler = false;
	// The reader of the output has closed the pipe, as in `jaydale watch | head -1`.
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
		async sendHttpRequest(url, request) {
			// `fetch` blocks some ports that an operator may choose.
			const response = await sendRequest(url, request);
			return {status: response.statusCode, text: async () => response.body.text()};
		},
		async sleep(milliseconds) {
			try {
				await pause(milliseconds, undefined, {signal: interruptController.signal});
			} catch {
				// The signal ended the pause early; the command checks the signal itself.
			}
		},
		now: () => performance.now(),
		get signal() {
			// Handles SIGINT only for commands that use the signal: the daemon handles SIGINT by its planned stop.
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
