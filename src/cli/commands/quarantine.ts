/** `jaydale quarantine`: lists and lifts the quarantine of calls that crashed backend servers. */
import {quarantineSchema, type QuarantineEntry} from '../../node/api/types.ts';
import {exitCodes} from '../exit-codes.ts';
import {
	formatOption, withSession, sessionOptions, printResult, reportFailure, reportReadFailure,
} from '../session.ts';
import {formatMilliseconds, formatTable} from '../table.ts';
import {type CommandDefinition} from '../types.ts';

export const quarantineListCommand: CommandDefinition = {
	usage: 'quarantine list',
	description: 'List the calls that are rejected because backend servers crashed while running them.',
	options: [formatOption, ...sessionOptions],
	examples: ['quarantine list', 'quarantine list --format json'],
	async run(context) {
		return withSession(context, async client => {
			const list = await client.request('GET', '/v1/quarantine', quarantineSchema);
			return list.match(value => printResult(context, value, () => formatEntries(value.entries)), value => reportReadFailure(context.terminal, value));
		});
	},
};

function formatEntries(entries: readonly QuarantineEntry[]): string[] {
	const rows = entries.map(entry => [entry.fingerprint, String(entry.crashes), formatMilliseconds(entry.remainingMilliseconds)]);
	return rows.length === 0 ? ['no call is quarantined'] : formatTable(['FINGERPRINT', 'CRASHES', 'ENDS IN'], rows);
}

export const quarantineLiftCommand: CommandDefinition = {
	usage: 'quarantine lift <fingerprint>',
	description: 'Allow a quarantined call to run again, for example after its cause has been fixed.',
	options: sessionOptions,
	examples: ['quarantine lift 2x9k1mz0q4'],
	async run(context) {
		const [fingerprint = ''] = context.parameters;
		return withSession(context, async client => {
			const outcome = await client.send('DELETE', `/v1/quarantine/${encodeURIComponent(fingerprint)}`);
			return outcome.match(() => {
				context.terminal.print(`${fingerprint} may run again`);
				return exitCodes.done;
			}, value => reportFailure(context.terminal, value));
		});
	},
};
