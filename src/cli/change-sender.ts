/** Sends a change until its outcome is known, and tells what became of it. */
import {type Result} from 'neverthrow';
import {
	changeAcceptedSchema, vmListSchema, type ChangeAccepted, type ChangeRequest, type VmStatus,
} from '../node/api/types.ts';
import {type ApiClient, type ClientFailure} from './api-client.ts';
import {exitCodes, type ExitCode} from './exit-codes.ts';
import {tellFailure} from './session.ts';
import {type CommandCall, type OptionDefinition, type Terminal} from './types.ts';

/** Seconds: a change that is not in force everywhere after an hour needs an operator's eyes. */
const longestWait = 3600;

/** Options of every command that changes resources. */
export const changeOptions: readonly OptionDefinition[] = [
	{name: 'note', value: 'TEXT', describe: 'Why; stands in the history'},
	{name: 'operation', value: 'ID', describe: 'Identity of an earlier try whose outcome is unknown: the same change is not made twice'},
	{
		name: 'wait', value: 'SECONDS', describe: 'Wait until the change is in force on every live VM, at most so long', most: longestWait,
	},
];

/**
 * A change whose answer is lost is sent again with the same identity, which settles it. The tries span
 * a change of the platform's leader, not an outage: an operator should learn of that soon.
 */
const mostSendings = 5;
const pauseBetweenSendings = 1000;
const pauseBetweenLooks = 250;

/** Sends a change, tells its outcome, and waits for it to be in force if asked to. */
export async function sendChange(call: CommandCall, client: ApiClient, mutations: ChangeRequest['mutations'], done: string): Promise<ExitCode> {
	const {terminal, options} = call;
	const request: ChangeRequest = {
		operation: options.text('operation') ?? terminal.freshOperation(),
		note: options.text('note') ?? '',
		mutations,
	};
	const outcome = await sendUntilKnown(terminal, client, request);
	if (outcome.isErr()) {
		return tellUnaccepted(terminal, request, outcome.error);
	}

	const {version, operation} = outcome.value;
	terminal.print(options.text('format') === 'json'
		? JSON.stringify(outcome.value)
		: `${done}: accepted as version ${version} (operation ${operation})`);
	const wait = options.number('wait') ?? 0;
	return wait === 0 ? exitCodes.done : waitUntilInForce(terminal, client, version, wait);
}

async function sendUntilKnown(terminal: Terminal, client: ApiClient, request: ChangeRequest): Promise<Result<ChangeAccepted, ClientFailure>> {
	for (let sending = 1; ; sending++) {
		const outcome = await client.request('POST', '/v1/changes', changeAcceptedSchema, {body: request});
		const isSettled = outcome.isOk() || !isUnknown(outcome.error);
		if (isSettled || sending === mostSendings || terminal.signal.aborted) {
			return outcome;
		}

		terminal.complain(`its outcome is not known yet; sending the same change again (${sending} of ${mostSendings - 1})`);
		await terminal.pause(pauseBetweenSendings);
	}
}

function isUnknown(value: ClientFailure): boolean {
	return value.kind === 'no-answer' || (value.kind === 'problem' && value.problem.operation !== undefined);
}

function tellUnaccepted(terminal: Terminal, request: ChangeRequest, value: ClientFailure): ExitCode {
	const code = tellFailure(terminal, value);
	if (code === exitCodes.unknown) {
		terminal.complain('  It is not known whether the change was accepted. Give the same command again with');
		terminal.complain(`  --operation ${request.operation}`);
		terminal.complain('  to settle it: the change is not made twice.');
	}

	return code;
}

async function waitUntilInForce(terminal: Terminal, client: ApiClient, version: number, seconds: number): Promise<ExitCode> {
	const end = terminal.now() + (seconds * 1000);
	for (;;) {
		const list = await client.request('GET', '/v1/vms', vmListSchema);
		const behind = list.map(({vms}) => vms.filter(vm => isAwaited(vm) && vm.version < version));
		if (behind.isOk() && behind.value.length === 0) {
			terminal.complain(`version ${version} is in force on every live VM`);
			return exitCodes.done;
		}

		if (terminal.now() >= end || terminal.signal.aborted) {
			terminal.complain(`jaydale: version ${version} is accepted, but not yet in force on: ${behind.match(vms => vms.map(vm => vm.address).join(', '), () => '(no VM answers)')}`);
			return exitCodes.notYetInForce;
		}

		await terminal.pause(pauseBetweenLooks);
	}
}

/** A dead VM serves nobody; a suspected one may still serve, so it is waited for. */
function isAwaited(vm: VmStatus): boolean {
	return vm.state !== 'dead';
}
