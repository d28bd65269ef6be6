/** `jaydale watch`: changes as they come into force. */
import {watchUpdateSchema, type ChangeRecord, type WatchUpdate} from '../../node/api/types.ts';
import {type ApiClient} from '../api-client.ts';
import {describeChanges} from '../format-changes.ts';
import {exitCodes, type ExitCode} from '../exit-codes.ts';
import {
	formatOption, inSession, sessionOptions, tellReadFailure,
} from '../session.ts';
import {type CommandCall, type CommandDefinition} from '../types.ts';

/** The API answers an idle poll after 25 s; an answer that is later than this will not come. */
const pollMilliseconds = 25_000;
const answerMilliseconds = 30_000;
const pauseAfterFailure = 1000;
const mostFailures = 10;

/** More keys than this are counted, not listed. */
const mostKeys = 5;

export const watchCommand: CommandDefinition = {
	usage: 'watch',
	describe: 'Show changes as they come into force on the VM that answers, until Ctrl-C. Goes on at another VM if that one stops.',
	options: [
		{
			name: 'after', value: 'VERSION', describe: 'Begin after this version (else after the present one)', most: Number.MAX_SAFE_INTEGER,
		},
		{
			name: 'count', value: 'N', describe: 'End after N changes', most: Number.MAX_SAFE_INTEGER,
		},
		formatOption,
		...sessionOptions,
	],
	examples: ['watch', 'watch --after 17 --format json', 'watch --count 1'],
	async run(call) {
		return inSession(call, async client => new Watcher(call, client).run(call.options.number('after')));
	},
};

/** One run of the command: polls by version, so that nothing is lost when a VM or connection goes away. */
class Watcher {
	private readonly _call: CommandCall;
	private readonly _client: ApiClient;
	private readonly _count: number;
	private _shown = 0;

	constructor(call: CommandCall, client: ApiClient) {
		this._call = call;
		this._client = client;
		this._count = call.options.number('count') ?? 0;
	}

	async run(after: number | undefined): Promise<ExitCode> {
		const {terminal} = this._call;
		let version = after;
		let failures = 0;
		while (!terminal.signal.aborted) {
			const update = await this._poll(version);
			if (update.isOk()) {
				failures = 0;
				this._show(update.value, version);
				version = update.value.version;
				if (this._isEnough) {
					return exitCodes.done;
				}

				continue;
			}

			failures++;
			if (terminal.signal.aborted) {
				break;
			}

			if (update.error.kind === 'problem' || failures > mostFailures) {
				return tellReadFailure(terminal, update.error);
			}

			await terminal.pause(pauseAfterFailure);
		}

		return exitCodes.done;
	}

	private get _isEnough(): boolean {
		return this._count > 0 && this._shown >= this._count;
	}

	/** Without a version the first poll asks for the present one and does not wait. */
	private async _poll(version: number | undefined) {
		const query = version === undefined ? 'after=0&milliseconds=0' : `after=${version}&milliseconds=${pollMilliseconds}`;
		return this._client.request('GET', `/v1/watch?${query}`, watchUpdateSchema, {milliseconds: answerMilliseconds});
	}

	private _show(update: WatchUpdate, after: number | undefined): void {
		const {terminal, options} = this._call;
		if (after === undefined) {
			terminal.complain(`watching from version ${update.version}`);
			return;
		}

		if (update.isReset) {
			terminal.complain(`the changes from version ${after + 1} on are no longer kept; going on from version ${update.version}`);
		}

		for (const record of update.records) {
			if (this._isEnough) {
				return;
			}

			this._shown++;
			terminal.print(options.text('format') === 'json' ? JSON.stringify(record) : describeRecord(record));
		}
	}
}

/** A change as one line. */
function describeRecord(record: ChangeRecord): string {
	return `version ${record.version} by ${record.operator}: ${describeChanges(record, mostKeys)}${record.note === '' ? '' : ` (${record.note})`}`;
}
