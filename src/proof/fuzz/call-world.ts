/** A world for fuzzing call engines: several VMs, fake backend servers, a fake fleet and a fake store. Deterministic for a seed. */
import {type CallEngine, type CallConfiguration} from '../../common/calls/types.ts';
import {
	type BackendServer, type Service, backendServerSchema, serviceSchema,
} from '../../common/model/resources.ts';
import {type RandomSource} from '../../common/model/units.ts';
import {seededRandom} from '../../common/random/random.ts';
import {findViolations} from '../oracle/oracle.ts';
import {type HistoryEvent, type Violation} from '../oracle/types.ts';
import {CallVm} from './call-vm.ts';
import {type CallEnvironment, type FuzzedCall, type VmHost} from './types.ts';
import {FakeBackendServer} from './fake-backend-server.ts';
import {type FaultCoverage} from './fault-coverage.ts';
import {ActiveFaults} from './active-faults.ts';
import {FakeFleet, storeName} from './fake-fleet.ts';
import {Network} from './network.ts';
import {Timeline} from './timeline.ts';

/** Creates the engine under test. */
export type CallEngineFactory = (random: RandomSource) => CallEngine;

const attemptLimit = 3;
const silenceMilliseconds = 2000;
const vmCount = 3;
const serversPerService = 4;
const firstPort = 9000;
const settleMilliseconds = 60_000;
const leavingStopMilliseconds = 8000;
const serviceNames = ['orders', 'reads'] as const;

export class CallWorld {
	readonly timeline = new Timeline();
	readonly network = new Network();
	readonly history: HistoryEvent[] = [];
	readonly servers: FakeBackendServer[] = [];
	readonly calls: FuzzedCall[] = [];
	readonly fleet: FakeFleet;
	readonly faults: ActiveFaults;
	private readonly _random: RandomSource;
	private readonly _leavingIdentities = new Set<string>();
	private readonly _environment: CallEnvironment;
	private _isBusyLoop = false;
	private _vmNumber = 0;
	private _identityNumber = 0;

	constructor(seed: number, private readonly _makeEngine: CallEngineFactory, coverage: FaultCoverage) {
		this.faults = new ActiveFaults(coverage, this.timeline);
		this._random = seededRandom(seed);
		const record = (event: HistoryEvent): void => {
			this.history.push(event);
		};

		this.fleet = new FakeFleet(this._firstConfiguration(), this.timeline, this.network, record);
		for (const {name} of this.fleet.configuration.backendServers.values()) {
			this.servers.push(new FakeBackendServer(name, this.timeline, record, server => {
				this.restart(server);
			}));
		}

		this._environment = {
			timeline: this.timeline,
			record,
			random: () => this._random.next(),
			backendServerAt: port => this.servers[port - firstPort]!,
			canPass: (from, to) => this.network.canPass(from, to),
			claimKey: (vm, key, answer) => {
				this.fleet.claimKey(vm, key, answer);
			},
			releaseKey: (vm, key) => {
				this.fleet.releaseKey(vm, key);
			},
			sendToPeers: (vm, update) => {
				this.fleet.sendToPeers(vm, update);
			},
			reportLeavingSign: (vm, identity, instance) => {
				this._reportLeavingSign(vm, identity, instance);
			},
		};
		for (let vm = 0; vm < vmCount; vm++) {
			this.addVm();
		}

		coverage.countHistory();
	}

	get vms(): readonly CallVm[] {
		return this.fleet.vms;
	}

	/** Starts a new VM with a new engine and a random clock offset. */
	addVm(): void {
		const name = `vm-${++this._vmNumber}`;
		const vm = new CallVm(name, this._makeEngine(seededRandom(this._vmNumber)), Math.floor(this._random.next() * 1e6), this._environment);
		this.history.push({type: 'vm-serves', at: this.timeline.now, vm: name});
		this.fleet.add(vm);
	}

	recordFault(party: string, fault: string, isBeginning: boolean): void {
		this.history.push({
			type: isBeginning ? 'fault-began' : 'fault-ended', at: this.timeline.now, party, fault,
		});
	}

	send(vm: CallVm, call: FuzzedCall): void {
		this.calls.push(call);
		this.history.push({
			type: 'call-sent',
			at: this.timeline.now,
			call: call.name,
			vm: vm.name,
			isIdempotent: call.isIdempotent,
			...(call.key !== undefined && {key: `${call.service}/${call.key}`}),
			// The deadline of the call applies to the head only. The body takes more time, and may fall silent and be resumed twice.
			dueAt: this.timeline.now + (attemptLimit * (call.timeoutMilliseconds + call.bodyMilliseconds + silenceMilliseconds)),
		});
		vm.accept(call);
	}

	advance(milliseconds: number): void {
		this._isBusyLoop ||= !this.timeline.advance(milliseconds);
	}

	/** Changes the declaration of a backend server as an operator. A new identity stands for deletion and a new declaration. */
	redeclare(vm: CallVm, position: number, change: Partial<BackendServer>, isNewIdentity: boolean): void {
		const backendServers = new Map(this.fleet.configuration.backendServers);
		const [identity, declared] = [...backendServers].find(([, {port}]) => port === firstPort + position)!;
		const changed = {...declared, ...change};
		const next = isNewIdentity ? `identity-${++this._identityNumber}` : identity;
		backendServers.delete(identity);
		backendServers.set(next, changed);
		if (!this.fleet.declare(vm, {...this.fleet.configuration, version: this.fleet.configuration.version + 1, backendServers})) {
			return;
		}

		if (isNewIdentity) {
			this._recordBudget(next, changed);
			this.history.push({type: 'leaving-began', at: this.timeline.now, backendServer: identity});
		}

		if (change.isLeaving !== undefined && change.isLeaving !== declared.isLeaving) {
			this.history.push({type: change.isLeaving ? 'leaving-began' : 'leaving-ended', at: this.timeline.now, backendServer: next});
		}
	}

	/** The backend server reports that it leaves, and stops after `leavingStopMilliseconds`. */
	startLeaving(server: FakeBackendServer): void {
		server.isLeaving = true;
		const {instance} = server.report();
		this.timeline.after(leavingStopMilliseconds, () => {
			if (server.isLeaving && server.report().instance === instance) {
				server.kill();
			}
		});
	}

	restart(server: FakeBackendServer): void {
		server.restart();
		const [identity, declared] = [...this.fleet.configuration.backendServers].find(([, {name}]) => name === server.name)!;
		if (this._leavingIdentities.delete(identity) && !declared.isLeaving) {
			this.history.push({type: 'leaving-ended', at: this.timeline.now, backendServer: identity});
		}
	}

	/** Ends all faults, advances the time, and returns all violations, unfinished calls and busy loops. */
	settle(): readonly string[] {
		this.heal();
		this.advance(settleMilliseconds);
		const unfinished = this.vms.flatMap(vm => {
			const {callsInFlight, callsQueued} = vm.engine.status(vm.now);
			return callsInFlight + callsQueued === 0 ? [] : [`${vm.name} still has ${callsInFlight} calls in flight and ${callsQueued} queued`];
		});
		return [
			...findViolations(this.history).map(({guarantee, at, message}: Violation) => `${guarantee} at ${at}: ${message}`),
			...unfinished,
			...(this._isBusyLoop ? ['an engine schedules ticks in a busy loop'] : []),
		];
	}

	heal(): void {
		this.network.heal();
		this.fleet.isStoreUp = true;
		this.fleet.isStoreSlow = false;
		for (const vm of this.vms.filter(({isPaused}) => isPaused)) {
			this.recordFault(vm.name, 'paused', false);
			vm.resume(true);
		}

		for (const server of this.servers) {
			server.thaw();
			server.treatment = 'normal';
			if (!server.isUp) {
				this.restart(server);
			}
		}

		this.faults.clear();
	}

	/** Network party by number (modulo the count): VMs first, then the store, then backend servers. */
	party(position: number): string {
		const parties = [...this.vms.map(({name}) => name), storeName, ...this.servers.map(({name}) => name)];
		return parties[position % parties.length]!;
	}

	private _reportLeavingSign(vm: VmHost, identity: string, instance: string): void {
		const declared = this.fleet.configuration.backendServers.get(identity);
		// A sign of an earlier process does not apply to the process that runs now.
		const isPresent = declared !== undefined && this.servers[declared.port - firstPort]!.report().instance === instance;
		if (isPresent && !this._leavingIdentities.has(identity)) {
			this._leavingIdentities.add(identity);
			this.history.push({type: 'leaving-began', at: this.timeline.now, backendServer: identity});
		}

		this.fleet.addLeavingSign(vm, {identity, instance});
	}

	private _firstConfiguration(): CallConfiguration {
		const services = new Map<string, Service>(serviceNames.map(name => [name, serviceSchema.parse({
			kind: 'service',
			name,
			timeoutMilliseconds: 5000,
			claimsIdempotencyKeys: name === 'orders',
			retryShare: 0.5,
			measuring: {callsPerWindow: 20, windowMilliseconds: 2000},
		})]));
		const backendServers = new Map<string, BackendServer>();
		for (const service of serviceNames) {
			for (let server = 0; server < serversPerService; server++) {
				const declared = backendServerSchema.parse({
					kind: 'backend-server', name: `${service}-${server}`, service, address: '127.0.0.1', port: firstPort + backendServers.size, dataCentre: 'north',
				});
				const identity = `identity-${++this._identityNumber}`;
				backendServers.set(identity, declared);
				this._recordBudget(identity, declared);
			}
		}

		return {
			version: 1, services, backendServers, sharingRules: [],
		};
	}

	private _recordBudget(identity: string, _declared: BackendServer): void {
		this.history.push({
			type: 'budget', at: this.timeline.now, backendServer: identity, calls: 20, windowMilliseconds: 2000,
		});
	}
}
