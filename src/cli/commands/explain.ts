/** `jaydale explain`: prints the trace of one call from the logs of all VMs. */
import {traceCall} from '../call-trace.ts';
import {exitCodes} from '../exit-codes.ts';
import {type CommandDefinition} from '../types.ts';

export const explainCommand: CommandDefinition = {
	usage: 'explain <call>',
	description: 'Show the log lines that explain the outcome of the call with this id, from logs of one or more VMs on standard input or in a file.',
	options: [{
		name: 'file', short: 'f', valueName: 'FILE', description: 'Log lines of all VMs, or - for standard input', defaultValue: '-',
	}],
	examples: ['explain 0ba0f0c395e28069 --file all-vms.log'],
	async run({parameters, options, terminal}) {
		const text = await terminal.readText(options.text('file') ?? '-');
		if (text.isErr()) {
			terminal.printError(text.error.message);
			return exitCodes.wrongInput;
		}

		const trace = traceCall(parameters[0]!, text.value);
		for (const line of trace.lines) {
			terminal.print(line);
		}

		if (trace.unreadableLines > 0) {
			terminal.printError(`skipped ${trace.unreadableLines} lines that are not log lines of jaydale`);
		}

		if (trace.callLines === 0) {
			terminal.printError(`no log line of call ${parameters[0]} found; "leftOut" on other lines counts calls that were not logged`);
			return exitCodes.notFound;
		}

		return exitCodes.done;
	},
};
