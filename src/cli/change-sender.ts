/** Sends a change until its outcome is known, and reports the outcome. */
import {type Result} from 'neverthrow';
import {
	changeAcceptedSchema, vmListSchema, type ChangeAccepted, type ChangeRequest, type VmStatus,
} from '../node/api/types.ts';
import {type ApiClient, type ClientFailure} from './api-client.ts';
import {exitCodes, type ExitCode} from './exit-codes.ts';
import {reportFailure} from './session.ts';
import {type CommandContext, type OptionDefinition, type Terminal} from './types.ts';

/** After an hour without the change in force on every VM, an operator has to look for the cause. */
const maxWaitSeconds = 3600;

/** Options of every command that changes resources. */
export const changeOptions: readonly OptionDefinition[] = [
	{name: 'note', valueName: 'TEXT', description: 'Reason for the change, stored in the history'},
	{name: 'operation', valueName: 'ID', description: 'Operation id of an earlier attempt with unknown outcome; the change is not made twice'},
	{
		name: 'wait', valueName: 'SECONDS', description: 'Wait at most this long until the change is in force on every live VM', max: maxWaitSeconds,
	},
];

/**
 * A change without a response is sent again with the same operation id, so that it is made at most once. The attempts
 * last long enough for a change of leader in the platform's service, but not for an outage, which is reported soon.
 */
const attemptLimit = 5;
const resendMilliseconds = 1000;
const versionPollMilliseconds = 250;

/** Sends a change, prints its outcome, and with `--wait` waits until it is in force. `subject` begins the success message. */
export async function sendChange(context: CommandContext, client: ApiClient, mutations: ChangeRequest['mutations'], subject: string): Promise<ExitCode> {
	const {terminal, options} = context;
	const request: ChangeRequest = {
		operation: options.text('operation') ?? terminal.newOperationId(),
		note: options.text('note') ?? '',
		mutations,
	};
	const outcome = await sendUntilOutcomeKnown(terminal, client, request);
	if (outcome.isErr()) {
		return reportFailedChange(terminal, request, outcome.error);
	}

	const {version, operation} = outcome.value;
	terminal.print(options.text('format') === 'json'
		? JSON.stringify(outcome.value)
		: `${subject}: accepted as version ${version} (operation ${operation})`);
	const wait = options.number('wait') ?? 0;
	return wait === 0 ? exitCodes.done : waitUntilInForce(terminal, client, version, wait);
}

async function sendUntilOutcomeKnown(terminal: Terminal, client: ApiClient, request: ChangeRequest): Promise<Result<ChangeAccepted, ClientFailure>> {
	for (let attempt = 1; ; attempt++) {
		const outcome = await client.request('POST', '/v1/changes', changeAcceptedSchema, {body: request});
		const isOutcomeKnown = outcome.isOk() || !isOutcomeUnknown(outcome.error);
		if (isOutcomeKnown || attempt === attemptLimit || terminal.signal.aborted) {
			return outcome;
		}

		terminal.printError(`outcome unknown; sending the same change again (${attempt} of ${attemptLimit - 1})`);
		await terminal.sleep(resendMilliseconds);
	}
}

function isOutcomeUnknown(value: ClientFailure): boolean {
	return value.kind === 'no-answer' || (value.kind === 'problem' && value.problem.operation !== undefined);
}

function reportFailedChange(terminal: Terminal, request: ChangeRequest, value: ClientFailure): ExitCode {
	const code = reportFailure(terminal, value);
	if (code === exitCodes.unknown) {
		terminal.printError('  The change may or may not have been accepted. To find out, repeat the command with');
		terminal.printError(`  --operation ${request.operation}`);
		terminal.printError('  The change is not made twice.');
	}

	return code;
}

async function waitUntilInForce(terminal: Terminal, client: ApiClient, version: number, seconds: number): Promise<ExitCode> {
	const end = terminal.now() + (seconds * 1000);
	for (;;) {
		const list = await client.request('GET', '/v1/vms', vmListSchema);
		const behind = list.map(({vms}) => vms.filter(vm => isRequired(vm) && vm.version < version));
		if (behind.isOk() && behind.value.length === 0) {
			terminal.printError(`version ${version} is in force on every live VM`);
			return exitCodes.done;
		}

		if (terminal.now() >= end || terminal.signal.aborted) {
			terminal.printError(`jaydale: version ${version} is accepted, but not yet in force on: ${behind.match(vms => vms.map(vm => vm.address).join(', '), () => '(no VM answers)')}`);
			return exitCodes.notYetInForce;
		}

		await terminal.sleep(versionPollMilliseconds);
	}
}

/** Whether a VM must have the version: a dead VM serves no calls, but a suspected one may still serve some. */
function isRequired(vm: VmStatus): boolean {
	return vm.state !== 'dead';
}
