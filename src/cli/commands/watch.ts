/** `jaydale watch`: shows changes as they come into force. */
import {watchUpdateSchema, type ChangeRecord, type WatchUpdate} from '../../node/api/types.ts';
import {type ApiClient} from '../api-client.ts';
import {formatChanges} from '../format-changes.ts';
import {exitCodes, type ExitCode} from '../exit-codes.ts';
import {
	formatOption, withSession, sessionOptions, reportReadFailure,
} from '../session.ts';
import {type CommandContext, type CommandDefinition} from '../types.ts';

/** The API responds to a poll without changes after 25 s; a poll without a response after 30 s has failed. */
const pollMilliseconds = 25_000;
const requestTimeoutMilliseconds = 30_000;
const retryMilliseconds = 1000;
const maxFailures = 10;

/** Changed keys listed per change; further ones are only counted. */
const maxListedKeys = 5;

export const watchCommand: CommandDefinition = {
	usage: 'watch',
	description: 'Show changes as they come into force on the VM that answers, until Ctrl-C. Continues on another VM if that one stops.',
	options: [
		{
			name: 'after', valueName: 'VERSION', description: 'Start after this version (default: the current version)', max: Number.MAX_SAFE_INTEGER,
		},
		{
			name: 'count', valueName: 'N', description: 'End after N changes', max: Number.MAX_SAFE_INTEGER,
		},
		formatOption,
		...sessionOptions,
	],
	examples: ['watch', 'watch --after 17 --format json', 'watch --count 1'],
	async run(context) {
		return withSession(context, async client => new Watcher(context, client).run(context.options.number('after')));
	},
};

/** One run of the command. Polls by version, so that no change is missed when a VM stops or a connection breaks. */
class Watcher {
	private readonly _context: CommandContext;
	private readonly _client: ApiClient;
	private readonly _count: number;
	private _printedCount = 0;

	constructor(context: CommandContext, client: ApiClient) {
		this._context = context;
		this._client = client;
		this._count = context.options.number('count') ?? 0;
	}

	async run(after: number | undefined): Promise<ExitCode> {
		const {terminal} = this._context;
		let version = after;
		let failures = 0;
		while (!terminal.signal.aborted) {
			const update = await this._poll(version);
			if (update.isOk()) {
				failures = 0;
				this._print(update.value, version);
				version = update.value.version;
				if (this._isComplete) {
					return exitCodes.done;
				}

				continue;
			}

			failures++;
			if (terminal.signal.aborted) {
				break;
			}

			if (update.error.kind === 'problem' || failures > maxFailures) {
				return reportReadFailure(terminal, update.error);
			}

			await terminal.sleep(retryMilliseconds);
		}

		return exitCodes.done;
	}

	private get _isComplete(): boolean {
		return this._count > 0 && this._printedCount >= this._count;
	}

	/** Polls for changes after the version. Without a version, requests the current one without waiting. */
	private async _poll(version: number | undefined) {
		const query = version === undefined ? 'after=0&milliseconds=0' : `after=${version}&milliseconds=${pollMilliseconds}`;
		return this._client.request('GET', `/v1/watch?${query}`, watchUpdateSchema, {timeoutMilliseconds: requestTimeoutMilliseconds});
	}

	private _print(update: WatchUpdate, after: number | undefined): void {
		const {terminal, options} = this._context;
		if (after === undefined) {
			terminal.printError(`watching from version ${update.version}`);
			return;
		}

		if (update.isReset) {
			terminal.printError(`the changes from version ${after + 1} on are no longer in the history; continuing from version ${update.version}`);
		}

		for (const record of update.records) {
			if (this._isComplete) {
				return;
			}

			this._printedCount++;
			terminal.print(options.text('format') === 'json' ? JSON.stringify(record) : formatRecord(record));
		}
	}
}

/** Formats a change as one line. */
function formatRecord(record: ChangeRecord): string {
	return `version ${record.version} by ${record.operator}: ${formatChanges(record, maxListedKeys)}${record.note === '' ? '' : ` (${record.note})`}`;
}
