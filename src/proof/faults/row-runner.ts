/** Runs rows of the fault matrix one at a time on one fleet, and checks the history of each row with the oracle. */
import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {findViolations} from '../oracle/oracle.ts';
import {type HistoryEvent, defaultLimits} from '../oracle/types.ts';
import {standInClient} from '../../stand-ins/stand-in-client.ts';
import {type OperatorAnswer, ProofOperator} from './proof-operator.ts';
import {
	answerEvent, expectedHash, type ProofAnswer, type ProofCall, sendCall,
} from './proof-caller.ts';
import {
	type ProofBackendServer, type ProofFleet, type ProofVm, serviceName,
} from './proof-fleet.ts';
import {type RelayedConnection} from './relay.ts';
import {
	type CallStep, type FaultName, type Row, type RowResult,
} from './types.ts';

const frozenMilliseconds = 1500;
const timeoutMilliseconds = 3000;
/** Time after the deadline in which a call must end: a body may take longer than the deadline, and a silent one is detected late. */
const dueSlackMilliseconds = 12_000;
const stopLimitMilliseconds = 20_000;
const leavingMilliseconds = 5000;
const inForceMilliseconds = 5000;
const pollMilliseconds = 100;
const slowStoreMilliseconds = 400;

const callShapes: Readonly<Record<'read' | 'order' | 'download', Pick<ProofCall, 'method' | 'answerBytes' | 'bodyBytes' | 'workMilliseconds'>>> = {
	read: {
		method: 'GET', answerBytes: 100_000, bodyBytes: 0, workMilliseconds: 200,
	},
	// The body is larger than a VM keeps for a retry, so that half of it can be forwarded before the rest arrives.
	order: {
		method: 'POST', answerBytes: 100_000, bodyBytes: 200_000, workMilliseconds: 200,
	},
	download: {
		method: 'GET', answerBytes: 8_000_000, bodyBytes: 0, workMilliseconds: 20,
	},
};

export class RowRunner {
	private readonly _fleet: ProofFleet;
	private _history: HistoryEvent[] = [];
	private _calls = 0;
	private _changes = 0;
	private _isStepReached = false;
	private _notes: string[] = [];

	constructor(fleet: ProofFleet) {
		this._fleet = fleet;
	}

	async run(row: Row): Promise<RowResult> {
		const started = performance.now();
		this._history = [];
		this._notes = [];
		this._isStepReached = false;
		const ready = await this._fleet.restore();
		if (ready.isErr()) {
			return {
				name: row.name, result: 'fail', milliseconds: performance.now() - started, notes: [`fleet not healthy before the row: ${ready.error.message}`],
			};
		}

		await this._runSubject(row);
		const violations = findViolations(this._history, defaultLimits).map(({guarantee, message}) => `${guarantee}: ${message}`);
		const result = violations.length > 0 ? 'fail' : (this._isStepReached ? 'pass' : 'not run');
		return {
			name: row.name, result, milliseconds: performance.now() - started, notes: [...this._notes, ...violations],
		};
	}

	private async _runSubject(row: Row): Promise<void> {
		switch (row.subject) {
			case 'call': {
				await this._runCall(row.kind, row.step, async (server, connection) => this._injectFaults(row.faults, this._fleet.vms[0]!, server, connection));
				break;
			}

			case 'change': {
				await this._runChange(row);
				break;
			}

			case 'stop': {
				await this._runStop(row.party, row.step);
				break;
			}

			case 'two operators': {
				await this._runTwoOperators();
				break;
			}
		}
	}

	private _record(event: HistoryEvent): void {
		this._history.push(event);
	}

	private async _runCall(kind: 'read' | 'order' | 'download', step: CallStep, action: (server: ProofBackendServer, connection: RelayedConnection) => Promise<void>): Promise<ProofAnswer> {
		const call: ProofCall = {
			name: `call-${++this._calls}-${randomUUID().slice(0, 8)}`, port: this._fleet.vms[0]!.plan.callPort, service: serviceName, timeoutMilliseconds, ...callShapes[kind],
		};
		const actions: Array<Promise<void>> = [];
		if (step === 'connecting') {
			await this._dropConnections();
		}

		for (const server of this._fleet.backendServers) {
			server.relay.setTrigger(step, call.name, connection => {
				if (!this._isStepReached) {
					this._isStepReached = true;
					actions.push(action(server, connection));
				}
			});
		}

		const sentAt = performance.now();
		this._record({
			type: 'call-sent', at: sentAt, call: call.name, vm: 'vm-0', isIdempotent: kind !== 'order', dueAt: sentAt + timeoutMilliseconds + dueSlackMilliseconds,
		});
		const answer = await sendCall(call);
		const answeredAt = performance.now();
		await Promise.all(actions);
		// Leaves time for runs that begin after the answer.
		await delay(pollMilliseconds);
		this._recordRuns(call);
		this._record(answerEvent(call, answer, answeredAt));
		this._notes.push(`${answer.isWhole ? 'whole' : 'broken'} ${answer.status ?? 'no status'} ${answer.outcome ?? 'no outcome'} after ${Math.round(answeredAt - sentAt)} ms`);
		return answer;
	}

	/** Resets all relayed connections, so that the next call opens a new one. */
	private async _dropConnections(): Promise<void> {
		for (const {relay} of this._fleet.backendServers) {
			relay.cutAll();
		}

		await delay(pollMilliseconds / 2);
	}

	/** Records a run for each request that was forwarded to a backend server completely, since the server may have run the call. */
	private _recordRuns(call: ProofCall): void {
		for (const server of this._fleet.backendServers) {
			for (const {at} of server.relay.forwardedRequests.filter(request => request.call === call.name)) {
				const run = `${server.name}-${at}`;
				this._record({
					type: 'run-began', at, run, call: call.name, backendServer: server.name,
				});
				this._record({
					type: 'answer-made', at, run, call: call.name, body: expectedHash(call),
				});
			}
		}
	}

	private async _injectFaults(faults: readonly FaultName[], vm: ProofVm, server?: ProofBackendServer, connection?: RelayedConnection): Promise<void> {
		await Promise.all(faults.map(async fault => this._injectFault(fault, vm, server, connection)));
	}

	private async _injectFault(fault: FaultName, vm: ProofVm, server: ProofBackendServer | undefined, connection: RelayedConnection | undefined): Promise<void> {
		const {platformPort, backendServers} = this._fleet;
		const injectors: Readonly<Record<FaultName, () => unknown>> = {
			cut: () => connection?.cut(),
			'cut everywhere'() {
				for (const {relay} of backendServers) {
					relay.cutAll();
				}
			},
			silent: () => connection?.silence(),
			slow: () => connection?.slowDown(),
			'kill backend server': () => server?.program.kill(),
			'freeze backend server': async () => this._freeze(server!.name, server!),
			'kill VM': () => {
				this._recordFaultStart(vm.plan.name, fault);
				vm.program.kill();
			},
			'freeze VM': async () => this._freeze(vm.plan.name, vm),
			'store down': async () => standInClient.setFaults(platformPort, {mode: 'down'}),
			'store answer lost': async () => standInClient.setFaults(platformPort, {loseAnswers: 1}),
		};
		await injectors[fault]();
	}

	private _recordFaultStart(party: string, fault: string): void {
		this._record({
			type: 'fault-began', at: performance.now(), party, fault,
		});
	}

	private async _freeze(name: string, party: ProofVm | ProofBackendServer): Promise<void> {
		this._recordFaultStart(name, 'frozen');
		party.program.signal('SIGSTOP');
		await delay(frozenMilliseconds);
		party.program.signal('SIGCONT');
		this._record({
			type: 'fault-ended', at: performance.now(), party: name, fault: 'frozen',
		});
	}

	/** Submits a change through the first VM, injects the faults at the step, and submits the same change once more through the second VM. */
	private async _runChange(row: Extract<Row, {subject: 'change'}>): Promise<void> {
		const [first, second] = this._fleet.vms.map(({plan}) => new ProofOperator(plan.operatorPort));
		const change = `change-${randomUUID()}`;
		const timeout = 3000 + (++this._changes);
		const vm = this._fleet.vms[0]!;
		if (row.step === 'during the write') {
			await standInClient.setFaults(this._fleet.platformPort, {mode: 'slow', delayMilliseconds: slowStoreMilliseconds});
		} else if (row.step === 'before the answer') {
			await standInClient.setFaults(this._fleet.platformPort, {loseAnswers: 1});
		}

		const fault = async (): Promise<void> => {
			this._isStepReached = true;
			await this._injectFaults(row.faults, vm);
		};

		const answers: OperatorAnswer[] = [];
		const submit = async (operator: ProofOperator): Promise<void> => {
			const answer = await operator.change(change, this._fleet.resources(timeout));
			answers.push(answer);
			this._recordAnswer(change, answer);
		};

		if (row.step === 'before the write') {
			const injection = fault();
			await Promise.all([injection, submit(first!)]);
		} else if (row.step === 'after the write') {
			await submit(first!);
			await fault();
		} else {
			const pending = submit(first!);
			await delay(slowStoreMilliseconds / 2);
			await Promise.all([fault(), pending]);
		}

		await standInClient.setFaults(this._fleet.platformPort, {mode: 'up', loseAnswers: 0});
		await this._fleet.restore();
		await submit(second!);
		this._notes.push(`answers: ${answers.map(({type}) => type).join(', then ')}`);
		await this._observeActivation();
	}

	private async _runTwoOperators(): Promise<void> {
		const operators = this._fleet.vms.map(({plan}) => new ProofOperator(plan.operatorPort));
		const expected = await operators[0]!.serviceVersion(serviceName);
		this._isStepReached = true;
		const answers = await Promise.all(operators.map(async operator => {
			const change = `change-${randomUUID()}`;
			const answer = await operator.change(change, this._fleet.resources(4000 + (++this._changes)).slice(0, 1), expected);
			this._recordAnswer(change, answer, `${serviceName} of version ${expected}`);
			return answer.type;
		}));
		this._notes.push(`answers: ${answers.join(' and ')}`);
		if (answers.filter(type => type === 'accepted').length !== 1) {
			this._notes.push('expected exactly one accepted change');
		}

		await this._observeActivation();
	}

	private _recordAnswer(change: string, answer: OperatorAnswer, replaces?: string): void {
		const at = performance.now();
		if (answer.type === 'accepted') {
			this._record({
				type: 'change-accepted', at, change, version: answer.version, ...(replaces !== undefined && {replaces}),
			});
		} else if (answer.type === 'refused') {
			this._record({type: 'change-refused', at, change});
		}
	}

	/** Records the configuration of each VM until all VMs use the newest accepted version, at most until shortly after the time limit. */
	private async _observeActivation(): Promise<void> {
		const from = performance.now();
		for (const {plan} of this._fleet.vms) {
			this._record({type: 'vm-serves', at: from, vm: plan.name});
		}

		const until = from + inForceMilliseconds + (10 * pollMilliseconds);
		const accepted = Math.max(0, ...this._history.map(event => event.type === 'change-accepted' ? event.version : 0));
		let behindCount = this._fleet.vms.length;
		while (performance.now() < until && behindCount > 0) {
			behindCount = 0;
			for (const {plan} of this._fleet.vms) {
				const events = await new ProofOperator(plan.operatorPort).readState(plan.name);
				this._history.push(...events);
				const version = Math.max(0, ...events.map(event => event.type === 'vm-acts-on' ? event.version : 0));
				behindCount += version >= accepted ? 0 : 1;
			}

			await delay(pollMilliseconds);
		}

		// The oracle does not check limits that expire after the last event, so the history must extend beyond the time limit.
		this._record({type: 'measured', at: until, backendServer: 'end'});
		this._record({
			type: 'budget', at: from, backendServer: 'end', calls: 1, windowMilliseconds: 1,
		});
	}

	private async _runStop(party: 'backend server' | 'VM', step: CallStep): Promise<void> {
		let stopped: ProofBackendServer | undefined;
		const vm = this._fleet.vms[0]!;
		const answer = await this._runCall('order', step, async server => {
			const at = performance.now();
			if (party === 'VM') {
				this._record({type: 'planned-stop-began', at, party: vm.plan.name});
				const code = await vm.program.stop(stopLimitMilliseconds);
				this._notes.push(`VM ended with ${code ?? 'no exit code, as it was killed'}`);
				return;
			}

			stopped = server;
			this._record({type: 'planned-stop-began', at, party: server.name});
			this._record({type: 'leaving-began', at, backendServer: server.name});
			server.hasLeft = true;
			await standInClient.orderBackendServer(server.relay.backendPort, {isDraining: true});
		});
		if (answer.status !== 200) {
			this._notes.push('expected a whole answer with status 200');
		}

		if (stopped !== undefined) {
			await delay(leavingMilliseconds);
			for (let call = 0; call < 10; call++) {
				await this._runCall('read', 'connecting', async () => undefined);
			}
		}
	}
}
