/** `jaydale settings check`: reports every fault of a settings file without starting the daemon. */
import {loadSettings} from '../../node/settings/load-settings.ts';
import {formatFailure} from '../format-failure.ts';
import {exitCodes} from '../exit-codes.ts';
import {type CommandDefinition} from '../types.ts';

export const settingsCheckCommand: CommandDefinition = {
	usage: 'settings check <file>',
	description: 'Check a settings file and the files it names, and report every fault. Exit code 2 if there is one.',
	options: [],
	examples: ['settings check /etc/jaydale/vm.toml'],
	async run(context) {
		const [file = ''] = context.parameters;
		const {terminal} = context;
		return loadSettings(file).match(settings => {
			const security = settings.peers.plain ? 'plain' : 'TLS';
			terminal.print(`${file}: no faults (${settings.vm.name} in ${settings.vm.dataCentre}, ${security} between VMs)`);
			return exitCodes.done;
		}, failures => {
			for (const value of failures) {
				terminal.printError(`${file}: ${formatFailure(value)}`);
			}

			terminal.printError(`${file}: ${failures.length} ${failures.length === 1 ? 'fault' : 'faults'}`);
			return exitCodes.wrongInput;
		});
	},
};
