/** `jaydale explain`: the story of one call from the logs of all VMs. */
import {tellCall} from '../call-trace.ts';
import {exitCodes} from '../exit-codes.ts';
import {type CommandDefinition} from '../types.ts';

export const explainCommand: CommandDefinition = {
	usage: 'explain <call>',
	describe: 'Tell what became of one call and why, by its id, from logs of one or more VMs on standard input or in a file.',
	options: [{
		name: 'file', short: 'f', value: 'FILE', describe: 'Log lines of all VMs; - reads standard input', fallback: '-',
	}],
	examples: ['explain 0ba0f0c395e28069 --file all-vms.log'],
	async run({parameters, options, terminal}) {
		const text = await terminal.readText(options.text('file') ?? '-');
		if (text.isErr()) {
			terminal.complain(text.error.message);
			return exitCodes.wrongInput;
		}

		const story = tellCall(parameters[0]!, text.value);
		for (const line of story.lines) {
			terminal.print(line);
		}

		if (story.unreadable > 0) {
			terminal.complain(`${story.unreadable} lines are no log lines of jaydale and were left out`);
		}

		if (story.callLines === 0) {
			terminal.complain(`no line tells of the call ${parameters[0]}; "leftOut" on other lines counts calls that were not written`);
			return exitCodes.notFound;
		}

		return exitCodes.done;
	},
};
