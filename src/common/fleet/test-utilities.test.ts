/** Test doubles for the fleet engine: VMs with an in-memory store, and message passing in virtual time. */
import {type CallConfiguration, type FleetShares} from '../calls/types.ts';
import {type Resource, resourceSchema} from '../model/resources.ts';
import {type Instant} from '../model/units.ts';
import {type StoreEntry, type StoreOperation, type StoreReply} from '../platform/types.ts';
import {seededRandom} from '../random/random.ts';
import {FakeStore, testLeaseMilliseconds} from './fake-store.test.ts';
import {FleetCoordinator} from './fleet-coordinator.ts';
import {
	type FleetEffect, type FleetEvent, type FleetSettings, type FleetStage, type OperatorAnswer, type OperatorChange,
} from './types.ts';

/** Polynomial hash modulo a prime, which is uniform enough for tests and needs no initialisation. */
export function testHash(text: string): number {
	let hash = 7;
	for (const character of text) {
		hash = ((hash * 48_271) + character.codePointAt(0)!) % 2_147_483_647;
	}

	return (hash * 48_271) % 2_147_483_647;
}

/** One VM of the fake fleet, with a record of its effects. */
export class FakeVm {
	readonly engine: FleetCoordinator;
	readonly address: string;
	readonly versions: number[] = [];
	readonly stages: FleetStage[] = [];
	readonly answers: OperatorAnswer[] = [];
	readonly answerRecords: Array<{readonly requestId: number; readonly answer: OperatorAnswer; readonly headVersion: number}> = [];
	readonly signs: Array<{readonly identity: string; readonly instance: string | undefined; readonly at: Instant}> = [];
	configuration: CallConfiguration | undefined;
	configuredAt: Instant = 0;
	shares: FleetShares | undefined;
	isCutOff = false;
	isPaused = false;
	isGone = false;
	callsInFlight = 0;
	messagesSent = 0;

	constructor(readonly name: string, readonly settings: FleetSettings, seed: number) {
		this.address = settings.peerAddress;
		this.engine = new FleetCoordinator(settings, seededRandom(seed), testHash);
	}

	get isRunning(): boolean {
		return !this.isPaused && !this.isGone;
	}
}

/**
 * How the store handles a VM's operations. `lost` = the operation takes effect, but its reply is lost; `late` = it takes
 * effect seconds after the wait for its reply has timed out; `stale` = reads return an old copy.
 */
export type StoreMode = 'up' | 'down' | 'lost' | 'late' | 'stale';

const lateMilliseconds = 3000;

type Step = {readonly at: Instant; readonly order: number; readonly run: () => void};

/** Several engines with one store, and messages that arrive after a delay. */
export class FakeFleet {
	now: Instant = 0;
	readonly store = new FakeStore();
	readonly vms: FakeVm[] = [];
	readonly log: string[] = [];
	mode: StoreMode = 'up';
	/** Mode for one operation; undefined = `mode` applies. */
	modeOf: (vm: FakeVm, operation: StoreOperation) => StoreMode | undefined = () => undefined;
	/** Pairs `from>to` of VM names; messages from the first to the second are dropped. */
	readonly droppedLinks = new Set<string>();
	/** Copy of the store that stale reads return. */
	staleEntries: ReadonlyMap<string, StoreEntry> = new Map();
	onStep: () => void = () => undefined;
	private _steps: Step[] = [];
	private _order = 0;
	private readonly _watches: Array<{readonly vm: FakeVm; readonly requestId: number; readonly operation: StoreOperation & {readonly type: 'watch'}; readonly until: Instant}> = [];

	constructor(private readonly _seed = 1, private readonly _overrides: Partial<FleetSettings> = {}) {
		this._random = seededRandom(_seed);
	}

	private readonly _random: ReturnType<typeof seededRandom>;

	add(name: string, dataCentre = 'dc-1', overrides: Partial<FleetSettings> = {}): FakeVm {
		const vm = new FakeVm(name, {
			identity: name,
			peerAddress: `${name}:1`,
			callAddress: `${name}:2`,
			dataCentre,
			seeds: this.vms.slice(0, 3).map(({address}) => address),
			defaultPeerPort: 1,
			shareSlots: 24,
			shareLeaseMilliseconds: testLeaseMilliseconds,
			addressTtlMilliseconds: 3000,
			minSubsetSize: 16,
			...this._overrides,
			...overrides,
		}, this._seed + this.vms.length + 1);
		this.vms.push(vm);
		this.dispatch(vm, {type: 'started'});
		return vm;
	}

	/** Version of the configuration in the store. */
	headVersion(): number {
		const entry = this.store.entries.get('jaydale/configuration/head');
		return entry ? Number(/"version":(?<version>\d+)/v.exec(entry.value)!.groups!.version) : 0;
	}

	dispatch(vm: FakeVm, event: FleetEvent): void {
		if (vm.isRunning) {
			for (const effect of vm.engine.handle(event, this.now)) {
				this._applyEffect(vm, effect);
			}
		}
	}

	after(milliseconds: number, run: () => void): void {
		this._order += 1;
		this._steps.push({at: this.now + milliseconds, order: this._order, run});
	}

	/** Pauses a VM. It handles events that arrive meanwhile when it resumes, like a stopped process. */
	pause(vm: FakeVm, milliseconds: number): void {
		vm.isPaused = true;
		this.after(milliseconds, () => {
			vm.isPaused = false;
		});
	}

	kill(vm: FakeVm): void {
		vm.isGone = true;
	}

	run(milliseconds: number): void {
		const end = this.now + milliseconds;
		for (let at = this._nextStepAt(); at !== undefined && at <= end; at = this._nextStepAt()) {
			this.now = Math.max(this.now, at);
			this._runSteps();
			this._runWatches();
			for (const vm of this.vms) {
				const wakeUp = vm.isRunning ? vm.engine.nextWakeUp() : undefined;
				if (wakeUp !== undefined && wakeUp <= this.now) {
					this.dispatch(vm, {type: 'tick'});
				}
			}

			this.onStep();
		}

		this.now = end;
	}

	private _nextStepAt(): Instant | undefined {
		let earliest = Number.POSITIVE_INFINITY;
		for (const {at} of this._steps) {
			earliest = Math.min(earliest, at);
		}

		for (const {until} of this._watches) {
			earliest = Math.min(earliest, until);
		}

		for (const vm of this.vms) {
			if (vm.isRunning) {
				earliest = Math.min(earliest, vm.engine.nextWakeUp() ?? earliest);
			}
		}

		return earliest === Number.POSITIVE_INFINITY ? undefined : earliest;
	}

	private _runSteps(): void {
		const due = this._steps.filter(({at}) => at <= this.now).toSorted((a, b) => a.at - b.at || a.order - b.order);
		this._steps = this._steps.filter(({at}) => at > this.now);
		for (const step of due) {
			step.run();
		}
	}

	private _runWatches(): void {
		for (const watch of this._watches.splice(0)) {
			const mode = this.modeOf(watch.vm, watch.operation) ?? this.mode;
			const reply = this.store.execute(watch.operation, this.now);
			if (mode === 'down') {
				this._deliverReply(watch.vm, watch.requestId, {type: 'unavailable'});
			} else if (this.now >= watch.until || (reply.type === 'changes' && reply.entries.length > 0)) {
				this._deliverReply(watch.vm, watch.requestId, reply);
			} else {
				this._watches.push(watch);
			}
		}
	}

	/** Reports the traffic of the front twice a second. */
	private _reportTraffic(vm: FakeVm): void {
		this.after(500, () => {
			const {callsInFlight} = vm;
			this.dispatch(vm, {type: 'traffic', traffic: {openConnections: callsInFlight, idleConnections: 0, callsInFlight}});
			if (!vm.isGone) {
				this._reportTraffic(vm);
			}
		});
	}

	private _applyEffect(vm: FakeVm, effect: FleetEffect): void {
		switch (effect.type) {
			case 'store': {
				this._execute(vm, effect.requestId, effect.operation);
				break;
			}

			case 'send': {
				vm.messagesSent += 1;
				this._deliver(vm, effect);
				break;
			}

			case 'configured': {
				vm.configuration = effect.configuration;
				vm.configuredAt = this.now;
				vm.versions.push(effect.configuration.version);
				break;
			}

			case 'shares': {
				vm.shares = effect.shares;
				break;
			}

			case 'backend-server-leaving': {
				vm.signs.push({identity: effect.sign.identity, instance: effect.sign.instance, at: this.now});
				break;
			}

			case 'operator-answer': {
				vm.answers.push(effect.answer);
				vm.answerRecords.push({requestId: effect.requestId, answer: effect.answer, headVersion: this.headVersion()});
				break;
			}

			case 'stage': {
				vm.stages.push(effect.stage);
				vm.isGone = effect.stage === 'ended';
				if (effect.stage === 'draining') {
					this._reportTraffic(vm);
				}

				break;
			}

			case 'cut-off': {
				vm.isCutOff = effect.isCutOff;
				break;
			}

			default:
		}
	}

	private _execute(vm: FakeVm, requestId: number, operation: StoreOperation): void {
		this.store.calls += 1;
		const mode = this.modeOf(vm, operation) ?? this.mode;
		if (operation.type === 'watch' && mode !== 'down') {
			this._watches.push({
				vm, requestId, operation, until: this.now + operation.milliseconds,
			});
			return;
		}

		if (mode === 'down') {
			this._deliverReply(vm, requestId, {type: 'unavailable'});
			return;
		}

		if (mode === 'late' && operation.type !== 'get' && operation.type !== 'list') {
			this._deliverReply(vm, requestId, {type: 'unknown'});
			this.after(lateMilliseconds, () => {
				this.store.execute(operation, this.now);
			});
			return;
		}

		// Request and reply are delayed separately, so that a pause may fall between them.
		this.after(this._delay(), () => {
			const isRead = operation.type === 'get' || operation.type === 'list';
			const reply = mode === 'stale' && operation.type === 'get'
				? {type: 'entry' as const, entry: this.staleEntries.get(operation.key), revision: 0}
				: this.store.execute(operation, this.now);
			this._deliverReply(vm, requestId, mode === 'lost' ? {type: isRead ? 'unavailable' : 'unknown'} : reply);
		});
	}

	private _deliverReply(vm: FakeVm, requestId: number, reply: StoreReply): void {
		this._deliverEvent(vm, this._delay(), {type: 'store-replied', requestId, reply});
	}

	private _deliver(vm: FakeVm, {to, message}: FleetEffect & {readonly type: 'send'}): void {
		const target = this.vms.findLast(({address, isGone}) => address === to && !isGone);
		if (!target || this.droppedLinks.has(`${vm.name}>${target.name}`)) {
			this._deliverEvent(vm, 300, {type: 'peer-unreachable', to});
			return;
		}

		// The message is cloned, as by a network, so that no VM can modify another VM's objects.
		this._deliverEvent(target, this._delay(), {type: 'peer-message', message: structuredClone(message)});
	}

	/** Delivers an event to a VM after a delay; events for a paused VM wait until it resumes. */
	private _deliverEvent(vm: FakeVm, milliseconds: number, event: FleetEvent): void {
		this.after(milliseconds, () => {
			if (vm.isPaused) {
				this._deliverEvent(vm, 10, event);
			} else {
				this.dispatch(vm, event);
			}
		});
	}

	private _delay(): number {
		return 0.5 + (2 * this._random.next());
	}
}

/** A service with the defaults of its schema. */
export function testService(name: string): Resource {
	return resourceSchema.parse({kind: 'service', name});
}

export function testBackendServer(name: string, service: string): Resource {
	return resourceSchema.parse({
		kind: 'backend-server', name, service, address: '10.0.0.1', port: 80, dataCentre: 'dc-1',
	});
}

/** A change that puts resources; it is unconditional unless `expectedVersion` is given. */
export function testChange(operationId: string, resources: readonly Resource[], expectedVersion?: number): OperatorChange {
	return {
		operationId,
		who: `operator of ${operationId}`,
		note: '',
		when: '2026-01-01T00:00:00Z',
		mutations: resources.map((resource, index) => ({
			type: 'put', resource, expectedVersion, newResourceIdentity: `${operationId}-${index}`.padEnd(22, '_').slice(0, 22),
		})),
	};
}
