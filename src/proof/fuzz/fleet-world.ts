/** A world for fuzzing fleet engines: several VMs, a fake store, a network with cuts, and operators. Deterministic for a seed. */
import {type CallConfiguration} from '../../common/calls/types.ts';
import {FleetCoordinator} from '../../common/fleet/fleet-coordinator.ts';
import {type PeerMessage} from '../../common/fleet/peer-messages.ts';
import {
	type FleetEngine, type FleetSettings, type HashFunction, type OperatorChange,
} from '../../common/fleet/types.ts';
import {type ResourceKey, resourceSchema, type Resource} from '../../common/model/resources.ts';
import {type RandomSource} from '../../common/model/units.ts';
import {seededRandom} from '../../common/random/random.ts';
import {findViolations} from '../oracle/oracle.ts';
import {type HistoryEvent} from '../oracle/types.ts';
import {type FaultCoverage} from './fault-coverage.ts';
import {ActiveFaults} from './active-faults.ts';
import {FakeStore} from './fake-store.ts';
import {
	budgetCalls, budgetWindowMilliseconds, FleetVm, type FleetEnvironment,
} from './fleet-vm.ts';
import {Network} from './network.ts';
import {Timeline} from './timeline.ts';

/** Creates the engine under test. */
export type FleetEngineFactory = (settings: FleetSettings, random: RandomSource, hash: HashFunction) => FleetEngine;

export const storeName = 'store';
const vmCount = 4;
/** Equal to the number of VMs: all shares are in use, so that a share used twice exceeds the budget. */
const shareSlots = 4;
const settleMilliseconds = 60_000;
const vmListIntervalMilliseconds = 2000;
const normalLagMilliseconds = 5000;
const longLagMilliseconds = 60_000;
const unreachableDelayMilliseconds = 300;
const isolationCheckMilliseconds = 100;

/** Polynomial hash modulo a prime; distributes a few names well enough. */
function hashText(text: string): number {
	let hash = 7;
	for (const character of text) {
		hash = ((hash * 48_271) + character.codePointAt(0)!) % 2_147_483_647;
	}

	return (hash * 48_271) % 2_147_483_647;
}

export class FleetWorld {
	readonly timeline = new Timeline();
	readonly network = new Network();
	readonly history: HistoryEvent[] = [];
	readonly store: FakeStore;
	readonly faults: ActiveFaults;
	isVmListLagging = false;
	/** Changes that were answered with `unknown`; operators may send them again. */
	readonly unknownChanges: OperatorChange[] = [];
	private readonly _allVms: FleetVm[] = [];
	private readonly _vmLists: Array<{readonly at: number; readonly addresses: readonly string[]}> = [];
	private readonly _random: RandomSource;
	private readonly _makeEngine: FleetEngineFactory;
	private readonly _environment: FleetEnvironment;
	private readonly _isolated = new Set<FleetVm>();
	private readonly _reportedLeaving = new Set<string>();
	private _newestConfiguration: CallConfiguration | undefined;
	private _isBusyLoop = false;
	private _vmNumber = 0;
	private _changeCount = 0;

	constructor(seed: number, coverage: FaultCoverage, makeEngine: FleetEngineFactory = (settings, random, hash) => new FleetCoordinator(settings, random, hash)) {
		this._random = seededRandom(seed);
		this._makeEngine = makeEngine;
		this.faults = new ActiveFaults(coverage, this.timeline);
		this.store = new FakeStore(this.timeline, () => this._random.next());
		this._environment = {
			timeline: this.timeline,
			record: event => {
				this.history.push(event);
			},
			configured: configuration => {
				this._handleConfigured(configuration);
			},
			send: (from, {to, message}) => {
				this._send(from, to, message);
			},
			store: (from, operation, reply) => {
				this._useStore(from, operation, reply);
			},
		};
		this.history.push({
			type: 'budget', at: 0, backendServer: 'measured', calls: budgetCalls, windowMilliseconds: budgetWindowMilliseconds,
		});
		for (let vm = 0; vm < vmCount; vm++) {
			this.addVm();
		}

		this._updateVmLists();
		this._watchIsolation();
		coverage.countHistory();
		this.advance(3000);
		this.submit(this.vms[0]!, this._firstResources());
		this.advance(3000);
	}

	/** VMs that have not ended. */
	get vms(): readonly FleetVm[] {
		return this._allVms.filter(({isEnded}) => !isEnded);
	}

	addVm(): void {
		const number = ++this._vmNumber;
		const name = `vm-${number}`;
		const engine = this._makeEngine({
			identity: name,
			peerAddress: `${name}:1`,
			callAddress: `${name}:2`,
			dataCentre: number % 2 === 0 ? 'north' : 'south',
			seeds: this.vms.map(({address}) => address),
			defaultPeerPort: 1,
			shareSlots,
			shareLeaseMilliseconds: 6000,
			addressTtlMilliseconds: 3000,
			minSubsetSize: 16,
		}, seededRandom(number), hashText);
		const vm = new FleetVm(name, engine, Math.floor(this._random.next() * 1e6), this._environment);
		this._allVms.push(vm);
		vm.start();
	}

	advance(milliseconds: number): void {
		this._isBusyLoop ||= !this.timeline.advance(milliseconds);
	}

	recordFault(party: string, fault: string, isBeginning: boolean): void {
		this.history.push({
			type: isBeginning ? 'fault-began' : 'fault-ended', at: this.timeline.now, party, fault,
		});
	}

	/** Submits a new change through a VM, with an operation identity of its own. */
	submit(vm: FleetVm, resources: readonly Resource[], expectedVersion?: number): void {
		const operationId = `change-${++this._changeCount}`;
		this.resubmit(vm, {
			operationId,
			who: 'operator',
			note: '',
			when: '2026-01-01T00:00:00Z',
			mutations: resources.map((resource, position) => ({
				type: 'put', resource, expectedVersion, newResourceIdentity: `${operationId}-${position}`.padEnd(22, '_'),
			})),
		});
	}

	remove(vm: FleetVm, key: ResourceKey): void {
		this.resubmit(vm, {
			operationId: `change-${++this._changeCount}`, who: 'operator', note: '', when: '2026-01-01T00:00:00Z', mutations: [{type: 'delete', key, expectedVersion: undefined}],
		});
	}

	/** Sends a change, for the first time or again with the same operation identity. */
	resubmit(vm: FleetVm, change: OperatorChange): void {
		const replaces = change.mutations.find(({expectedVersion}) => expectedVersion !== undefined);
		vm.submitChange(change, answer => {
			const at = this.timeline.now;
			if (answer.type === 'accepted') {
				this.history.push({
					type: 'change-accepted', at, change: change.operationId, version: answer.version,
					...(replaces?.type === 'put' && {replaces: `${replaces.resource.name} of version ${replaces.expectedVersion}`}),
				});
			} else if (answer.type === 'unknown') {
				this.unknownChanges.push(change);
			} else if (answer.type === 'refused' && answer.failure.kind === 'store-unavailable' && this.unknownChanges.includes(change)) {
				// A change sent again could not be looked up in the store, so its outcome is still unknown.

			} else {
				this.history.push({type: 'change-refused', at, change: change.operationId});
			}
		});
	}

	/** A service whose timeout differs with each change. */
	service(name: string): Resource {
		return resourceSchema.parse({
			kind: 'service', name, timeoutMilliseconds: 1000 + this._changeCount, measuring: {windowMilliseconds: budgetWindowMilliseconds},
		});
	}

	backendServer(name: string, isLeaving: boolean): Resource {
		return resourceSchema.parse({
			kind: 'backend-server', name, service: 'reads', address: '127.0.0.1', port: 9000 + this._changeCount, dataCentre: 'north', isLeaving,
		});
	}

	/** The VM observes in an answer that a process of the backend server leaves. */
	reportLeavingSign(vm: FleetVm, identity: string): void {
		if (!vm.isPaused) {
			this._reportedLeaving.add(identity);
			this.history.push({type: 'leaving-began', at: this.timeline.now, backendServer: identity});
			vm.feed({type: 'leaving-sign', sign: {identity, instance: `${identity}-1`, source: 'answer'}});
		}
	}

	heal(): void {
		this.network.heal();
		this.store.isUp = true;
		this.store.isSlow = false;
		this.store.answersToLose = 0;
		this.store.writesToLose = 0;
		this.store.resumeReplica();
		this.isVmListLagging = false;
		for (const vm of this.vms.filter(({isPaused}) => isPaused)) {
			this.recordFault(vm.name, 'paused', false);
			vm.resume(false);
		}

		this.faults.clear();
	}

	/** Ends all faults, advances the time, and returns all violations, differences between the VMs and busy loops. */
	settle(): readonly string[] {
		this.heal();
		this.advance(settleMilliseconds);
		const serving = this.vms.filter(({isServing}) => isServing);
		const versions = new Set(serving.map(({configuration}) => configuration?.version));
		return [
			...findViolations(this.history).map(({guarantee, at, message}) => `${guarantee} at ${at}: ${message}`),
			...(versions.size > 1 ? [`VMs use different versions ${[...versions].join(', ')} a minute after the end of all faults`] : []),
			...this.vms.filter(({stage}) => stage === 'starting').map(({name}) => `${name} does not serve a minute after the end of all faults`),
			...(this._isBusyLoop ? ['an engine schedules ticks in a busy loop'] : []),
		];
	}

	/** Network party by number (modulo the count): VMs first, then the store. */
	party(position: number): string {
		const parties = [...this.vms.map(({name}) => name), storeName];
		return parties[position % parties.length]!;
	}

	private _firstResources(): Resource[] {
		return [this.service('reads'), this.backendServer('reads-0', false), this.backendServer('reads-1', false)];
	}

	/** When the first VM uses a newer version, records which backend servers begin to leave or return by this version. */
	private _handleConfigured(configuration: CallConfiguration): void {
		const previous = this._newestConfiguration;
		if (previous !== undefined && configuration.version <= previous.version) {
			return;
		}

		this._newestConfiguration = configuration;
		const {now: at} = this.timeline;
		for (const [backendServer, {isLeaving}] of previous?.backendServers ?? []) {
			const isLeavingNow = configuration.backendServers.get(backendServer)?.isLeaving ?? true;
			if (isLeavingNow !== isLeaving) {
				this.history.push({type: isLeavingNow ? 'leaving-began' : 'leaving-ended', at, backendServer});
			}
		}
	}

	private _send(from: FleetVm, to: string, message: PeerMessage): void {
		const target = this._allVms.find(({address}) => address === to);
		const isLost = target === undefined || target.isEnded || !this.network.canPass(from.name, target.name);
		const isNoticed = isLost || !this.network.canPass(target.name, from.name);
		if (isNoticed && (target?.isEnded !== false || this._random.next() < 0.5)) {
			this.timeline.after(unreachableDelayMilliseconds, () => {
				from.feed({type: 'peer-unreachable', to});
			});
		}

		if (!isLost) {
			// A copy, as over a network, so that VMs share no objects.
			const copy = structuredClone(message);
			this.timeline.after(0.5 + (2 * this._random.next()), () => {
				target.feed({type: 'peer-message', message: copy});
			});
		}
	}

	private _useStore(from: FleetVm, operation: Parameters<FleetEnvironment['store']>[1], reply: Parameters<FleetEnvironment['store']>[2]): void {
		if (!this.network.canPass(from.name, storeName)) {
			this.timeline.after(unreachableDelayMilliseconds, () => {
				reply({type: 'unavailable'});
			});
			return;
		}

		this.store.execute(operation, result => {
			const isRead = operation.type === 'get' || operation.type === 'list' || operation.type === 'watch';
			reply(this.network.canPass(storeName, from.name) ? result : {type: isRead ? 'unavailable' : 'unknown'});
		});
	}

	private _updateVmLists(): void {
		this._vmLists.push({at: this.timeline.now, addresses: this.vms.map(({address}) => address)});
		const lag = this.isVmListLagging ? longLagMilliseconds : normalLagMilliseconds;
		const visibleList = this._vmLists.findLast(({at}) => at <= this.timeline.now - lag) ?? this._vmLists[0]!;
		for (const vm of this.vms) {
			vm.feed({type: 'vm-list', vms: visibleList.addresses.map(address => ({address, dataCentre: 'north', state: 'live'}))});
		}

		this.timeline.after(vmListIntervalMilliseconds, () => {
			this._updateVmLists();
		});
	}

	/**
	 * Records a VM as isolated while it cannot exchange messages with the store and all running VMs, directly or through
	 * others. If the store is unusable, a VM is also isolated while it reaches no running VM with the newest configuration.
	 * Signs of leaving never go through the store: a VM is also isolated while a sign is at no running VM that it reaches
	 * without the store, for instance because only a paused or ended VM received the sign.
	 */
	private _watchIsolation(): void {
		const running = this.vms.filter(({isPaused}) => !isPaused);
		const isStoreUsable = this.store.isUp && !this.store.isStale && !this.store.isSlow;
		const parties = [...running.map(({name}) => name), ...(isStoreUsable ? [storeName] : [])];
		const newest = Math.max(0, ...this.history.map(event => event.type === 'change-accepted' ? event.version : 0));
		for (const vm of this.vms) {
			const reached = this._reachedFrom(vm.name, parties);
			const isNewestReachable = running.some(({name, configuration}) => reached.has(name) && (configuration?.version ?? 0) >= newest);
			const reachedByPeers = this._reachedFrom(vm.name, running.map(({name}) => name));
			const reachableSigns = new Set(running.filter(({name}) => reachedByPeers.has(name)).flatMap(({leavingSigns}) => [...leavingSigns]));
			const areSignsReachable = [...this._reportedLeaving].every(identity => reachableSigns.has(`${identity} ${identity}-1`) || this._newestConfiguration?.backendServers.has(identity) !== true);
			const isIsolated = parties.some(name => !reached.has(name)) || (!isStoreUsable && !isNewestReachable) || !areSignsReachable;
			if (isIsolated !== this._isolated.has(vm)) {
				this.recordFault(vm.name, 'isolated', isIsolated);
				if (isIsolated) {
					this._isolated.add(vm);
				} else {
					this._isolated.delete(vm);
				}
			}
		}

		this.timeline.after(isolationCheckMilliseconds, () => {
			this._watchIsolation();
		});
	}

	private _reachedFrom(name: string, parties: readonly string[]): ReadonlySet<string> {
		const reached = new Set([name]);
		for (let size = 0; size < reached.size;) {
			size = reached.size;
			for (const party of parties) {
				if ([...reached].some(one => this.network.canPassBothWays(one, party))) {
					reached.add(party);
				}
			}
		}

		return reached;
	}
}
