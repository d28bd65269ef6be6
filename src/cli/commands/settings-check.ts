/** `jaydale settings check`: finds every fault of a settings file without starting anything. */
import {loadSettings} from '../../node/settings/load-settings.ts';
import {describeForPeople} from '../format-failure.ts';
import {exitCodes} from '../exit-codes.ts';
import {type CommandDefinition} from '../types.ts';

export const settingsCheckCommand: CommandDefinition = {
	usage: 'settings check <file>',
	describe: 'Check a settings file and the files it names; tells every fault at once. Exit code 2 if there is one.',
	options: [],
	examples: ['settings check /etc/jaydale/vm.toml'],
	async run(call) {
		const [file = ''] = call.parameters;
		const {terminal} = call;
		return loadSettings(file).match(settings => {
			const security = settings.peers.plain ? 'plain' : 'TLS';
			terminal.print(`${file}: no faults (${settings.vm.name} in ${settings.vm.dataCentre}, ${security} between VMs)`);
			return exitCodes.done;
		}, failures => {
			for (const value of failures) {
				terminal.complain(`${file}: ${describeForPeople(value)}`);
			}

			terminal.complain(`${file}: ${failures.length} ${failures.length === 1 ? 'fault' : 'faults'}`);
			return exitCodes.wrongInput;
		});
	},
};
