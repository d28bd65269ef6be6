/** `jaydale quarantine`: calls that are refused because they crashed backend servers. */
import {quarantineSchema, type QuarantineEntry} from '../../node/api/types.ts';
import {exitCodes} from '../exit-codes.ts';
import {
	formatOption, inSession, sessionOptions, tellAnswer, tellFailure, tellReadFailure,
} from '../session.ts';
import {formatMilliseconds, formatTable} from '../table.ts';
import {type CommandDefinition} from '../types.ts';

export const quarantineListCommand: CommandDefinition = {
	usage: 'quarantine list',
	describe: 'List the calls that are refused because backend servers crashed while they ran.',
	options: [formatOption, ...sessionOptions],
	examples: ['quarantine list', 'quarantine list --format json'],
	async run(call) {
		return inSession(call, async client => {
			const list = await client.request('GET', '/v1/quarantine', quarantineSchema);
			return list.match(value => tellAnswer(call, value, () => linesOf(value.entries)), value => tellReadFailure(call.terminal, value));
		});
	},
};

function linesOf(entries: readonly QuarantineEntry[]): string[] {
	const rows = entries.map(entry => [entry.fingerprint, String(entry.crashes), formatMilliseconds(entry.remainingMilliseconds)]);
	return rows.length === 0 ? ['no call is quarantined'] : formatTable(['FINGERPRINT', 'CRASHES', 'ENDS IN'], rows);
}

export const quarantineLiftCommand: CommandDefinition = {
	usage: 'quarantine lift <fingerprint>',
	describe: 'Let a quarantined call run again, for instance after its cause was mended.',
	options: sessionOptions,
	examples: ['quarantine lift 2x9k1mz0q4'],
	async run(call) {
		const [fingerprint = ''] = call.parameters;
		return inSession(call, async client => {
			const outcome = await client.send('DELETE', `/v1/quarantine/${encodeURIComponent(fingerprint)}`);
			return outcome.match(() => {
				call.terminal.print(`${fingerprint} may run again`);
				return exitCodes.done;
			}, value => tellFailure(call.terminal, value));
		});
	},
};
