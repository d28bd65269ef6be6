/** Runs rows of the fault matrix, one after the other, on one fleet, and judges each by the oracle. */
import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {judge} from '../oracle/oracle.ts';
import {type HistoryEvent, usualLimits} from '../oracle/types.ts';
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
/** Beyond the deadline: a body that has begun may take its time, and a silent one is noticed late. */
const dueSlackMilliseconds = 12_000;
const stopLimitMilliseconds = 20_000;
const leavingMilliseconds = 5000;
const inForceMilliseconds = 5000;
const pollMilliseconds = 100;
const slowStoreMilliseconds = 400;

const sizes: Readonly<Record<'read' | 'order' | 'download', Pick<ProofCall, 'method' | 'answerBytes' | 'bodyBytes' | 'workMilliseconds'>>> = {
	read: {
		method: 'GET', answerBytes: 100_000, bodyBytes: 0, workMilliseconds: 200,
	},
	// More than is kept for another attempt, so that half of it can be on its way.
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
	private _isMet = false;
	private _notes: string[] = [];

	constructor(fleet: ProofFleet) {
		this._fleet = fleet;
	}

	async run(row: Row): Promise<RowResult> {
		const started = performance.now();
		this._history = [];
		this._notes = [];
		this._isMet = false;
		const ready = await this._fleet.restore();
		if (ready.isErr()) {
			return {
				name: row.name, result: 'fail', milliseconds: performance.now() - started, notes: [`not well before the row: ${ready.error.message}`],
			};
		}

		await this._runSubject(row);
		const violations = judge(this._history, usualLimits).map(({promise, message}) => `${promise}: ${message}`);
		const result = violations.length > 0 ? 'fail' : (this._isMet ? 'pass' : 'not run');
		return {
			name: row.name, result, milliseconds: performance.now() - started, notes: [...this._notes, ...violations],
		};
	}

	private async _runSubject(row: Row): Promise<void> {
		switch (row.subject) {
			case 'call': {
				await this._runCall(row.kind, row.step, async (server, connection) => this._bringAbout(row.faults, this._fleet.vms[0]!, server, connection));
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

	private async _runCall(kind: 'read' | 'order' | 'download', step: CallStep, act: (server: ProofBackendServer, connection: RelayedConnection) => Promise<void>): Promise<ProofAnswer> {
		const call: ProofCall = {
			name: `call-${++this._calls}-${randomUUID().slice(0, 8)}`, port: this._fleet.vms[0]!.plan.callPort, service: serviceName, timeoutMilliseconds, ...sizes[kind],
		};
		const acted: Array<Promise<void>> = [];
		if (step === 'connecting') {
			await this._dropConnections();
		}

		for (const server of this._fleet.backendServers) {
			server.relay.arm(step, call.name, connection => {
				if (!this._isMet) {
					this._isMet = true;
					acted.push(act(server, connection));
				}
			});
		}

		const sentAt = performance.now();
		this._record({
			type: 'call-sent', at: sentAt, call: call.name, vm: 'vm-0', isIdempotent: kind !== 'order', due: sentAt + timeoutMilliseconds + dueSlackMilliseconds,
		});
		const answer = await sendCall(call);
		const answeredAt = performance.now();
		await Promise.all(acted);
		// A later run of a call that has been answered shows within this time.
		await delay(pollMilliseconds);
		this._recordRuns(call);
		this._record(answerEvent(call, answer, answeredAt));
		this._notes.push(`${answer.isWhole ? 'whole' : 'broken'} ${answer.status ?? 'no status'} ${answer.outcome ?? 'no outcome'} after ${Math.round(answeredAt - sentAt)} ms`);
		return answer;
	}

	/** The next call needs a new connection. */
	private async _dropConnections(): Promise<void> {
		for (const {relay} of this._fleet.backendServers) {
			relay.cutAll();
		}

		await delay(pollMilliseconds / 2);
	}

	/** A request that went whole to a backend server may have run: it counts as a run. */
	private _recordRuns(call: ProofCall): void {
		for (const server of this._fleet.backendServers) {
			for (const {at} of server.relay.given.filter(given => given.call === call.name)) {
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

	private async _bringAbout(faults: readonly FaultName[], vm: ProofVm, server?: ProofBackendServer, connection?: RelayedConnection): Promise<void> {
		await Promise.all(faults.map(async fault => this._bringOneAbout(fault, vm, server, connection)));
	}

	private async _bringOneAbout(fault: FaultName, vm: ProofVm, server: ProofBackendServer | undefined, connection: RelayedConnection | undefined): Promise<void> {
		const {platformPort, backendServers} = this._fleet;
		const acts: Readonly<Record<FaultName, () => unknown>> = {
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
				this._mark(vm.plan.name, fault);
				vm.program.kill();
			},
			'freeze VM': async () => this._freeze(vm.plan.name, vm),
			'store down': async () => standInClient.setFaults(platformPort, {mode: 'down'}),
			'store answer lost': async () => standInClient.setFaults(platformPort, {loseAnswers: 1}),
		};
		await acts[fault]();
	}

	private _mark(party: string, fault: string): void {
		this._record({
			type: 'fault-began', at: performance.now(), party, fault,
		});
	}

	private async _freeze(name: string, party: ProofVm | ProofBackendServer): Promise<void> {
		this._mark(name, 'frozen');
		party.program.signal('SIGSTOP');
		await delay(frozenMilliseconds);
		party.program.signal('SIGCONT');
		this._record({
			type: 'fault-ended', at: performance.now(), party: name, fault: 'frozen',
		});
	}

	/** A change through the first VM, the fault at its step, then the same change again until its outcome is known. */
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
			this._isMet = true;
			await this._bringAbout(row.faults, vm);
		};

		const told: OperatorAnswer[] = [];
		const asked = async (operator: ProofOperator): Promise<void> => {
			const answer = await operator.change(change, this._fleet.resources(timeout));
			told.push(answer);
			this._recordAnswer(change, answer);
		};

		if (row.step === 'before the write') {
			const faulty = fault();
			await Promise.all([faulty, asked(first!)]);
		} else if (row.step === 'after the write') {
			await asked(first!);
			await fault();
		} else {
			const waiting = asked(first!);
			await delay(slowStoreMilliseconds / 2);
			await Promise.all([fault(), waiting]);
		}

		await standInClient.setFaults(this._fleet.platformPort, {mode: 'up', loseAnswers: 0});
		await this._fleet.restore();
		await asked(second!);
		this._notes.push(`told ${told.map(({type}) => type).join(', then ')}`);
		await this._watchInForce();
	}

	private async _runTwoOperators(): Promise<void> {
		const operators = this._fleet.vms.map(({plan}) => new ProofOperator(plan.operatorPort));
		const expected = await operators[0]!.serviceVersion(serviceName);
		this._isMet = true;
		const answers = await Promise.all(operators.map(async operator => {
			const change = `change-${randomUUID()}`;
			const answer = await operator.change(change, this._fleet.resources(4000 + (++this._changes)).slice(0, 1), expected);
			this._recordAnswer(change, answer, `${serviceName} of version ${expected}`);
			return answer.type;
		}));
		this._notes.push(`told ${answers.join(' and ')}`);
		if (answers.filter(type => type === 'accepted').length !== 1) {
			this._notes.push('expected exactly one winner');
		}

		await this._watchInForce();
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

	/** What each VM acts on, for as long as it may take to be in force. */
	private async _watchInForce(): Promise<void> {
		const from = performance.now();
		for (const {plan} of this._fleet.vms) {
			this._record({type: 'vm-serves', at: from, vm: plan.name});
		}

		const until = from + inForceMilliseconds + (10 * pollMilliseconds);
		const accepted = Math.max(0, ...this._history.map(event => event.type === 'change-accepted' ? event.version : 0));
		let behind = this._fleet.vms.length;
		while (performance.now() < until && behind > 0) {
			behind = 0;
			for (const {plan} of this._fleet.vms) {
				const shown = await new ProofOperator(plan.operatorPort).show(plan.name);
				this._history.push(...shown);
				const version = Math.max(0, ...shown.map(event => event.type === 'vm-acts-on' ? event.version : 0));
				behind += version >= accepted ? 0 : 1;
			}

			await delay(pollMilliseconds);
		}

		// Without this event the history would end before the time allowed, and nobody would be judged late.
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
				this._notes.push(`VM ended with ${code ?? 'no code: it had to be killed'}`);
				return;
			}

			stopped = server;
			this._record({type: 'planned-stop-began', at, party: server.name});
			this._record({type: 'leaving-began', at, backendServer: server.name});
			server.hasLeft = true;
			await standInClient.orderBackendServer(server.relay.backendPort, {isDraining: true});
		});
		if (answer.status !== 200) {
			this._notes.push('expected the whole answer of a run');
		}

		if (stopped !== undefined) {
			await delay(leavingMilliseconds);
			for (let call = 0; call < 10; call++) {
				await this._runCall('read', 'connecting', async () => undefined);
			}
		}
	}
}
