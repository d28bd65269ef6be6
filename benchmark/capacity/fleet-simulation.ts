/**
 * Runs the fleet engines of all VMs of a fleet in virtual time, to measure how long a change takes to be in force on every VM.
 * Messages have the latency within or between regions; the platform's service answers in milliseconds.
 */
import {FleetCoordinator} from '../../src/common/fleet/fleet-coordinator.ts';
import {type PeerMessage} from '../../src/common/fleet/peer-messages.ts';
import {type FleetEffect, type FleetEvent, type HashFunction} from '../../src/common/fleet/types.ts';
import {TimerQueue} from '../../src/common/calls/timer-queue.ts';
import {type StoreOperation} from '../../src/common/platform/types.ts';
import {seededRandom} from '../../src/common/random/random.ts';
import {KeyValueStore} from '../../src/stand-ins/platform/key-value-store.ts';
import {storeInitialConfiguration} from './first-configuration.ts';
import {
	backendServerOf, dataCentreOf, identityOf, storedResources,
} from './sizes.ts';

const services = 6;
const backendServers = 72;
const storeLatencyMilliseconds = 5;
const sameRegionMilliseconds = 0.5;
/** One-way latency between regions. */
const otherRegionMilliseconds = 40;
const settleMilliseconds = 12_000;
const changeIntervalMilliseconds = 6000;
const membersPerMessage = 256;

type SimulatedVm = {readonly index: number; readonly engine: FleetCoordinator; readonly address: string; version: number; versionAt: number; wakeUpAt: number};
type Watch = {readonly vm: SimulatedVm; readonly requestId: number; readonly prefix: string; readonly after: number};

/** A fleet in which every VM initially has the records of all others, as after an hour without changes. */
export class FleetSimulation {
	private readonly _store = new KeyValueStore();
	private readonly _vms: SimulatedVm[];
	private readonly _byAddress: Map<string, SimulatedVm>;
	private readonly _scheduled = new TimerQueue<() => void>();
	private readonly _watches = new Set<Watch>();
	private readonly _random = seededRandom(11);
	private _now = 0;

	constructor(count: number, hash: HashFunction) {
		storeInitialConfiguration(this._store, storedResources(services, backendServers));
		this._vms = Array.from({length: count}, (_, index) => this._makeVm(index, count, hash));
		this._byAddress = new Map(this._vms.map(vm => [vm.address, vm]));
		this._exchangeMembers();
		for (const vm of this._vms) {
			this._after(this._random.next() * 1000, () => {
				this._handle(vm, {type: 'started'});
			});
		}
	}

	/** Milliseconds from the operator's request until the change is in force on the last VM; the maximum over several changes. */
	changeMilliseconds(changes: number): number {
		this._runUntil(settleMilliseconds);
		let longest = 0;
		for (let change = 0; change < changes; change++) {
			const startedAt = this._now;
			this._change(change);
			this._runUntil(startedAt + changeIntervalMilliseconds);
			const lastVersionAt = Math.max(...this._vms.map(vm => vm.version === change + 2 ? vm.versionAt : Infinity));
			longest = Math.max(longest, lastVersionAt - startedAt);
		}

		return longest;
	}

	private _makeVm(index: number, count: number, hash: HashFunction): SimulatedVm {
		const address = `10.251.${Math.floor(index / 250)}.${index % 250}`;
		const engine = new FleetCoordinator({
			identity: identityOf('vm', index),
			peerAddress: `${address}:7003`,
			callAddress: `${address}:7001`,
			dataCentre: dataCentreOf(index),
			seeds: [],
			defaultPeerPort: 7003,
			shareSlots: Math.ceil(count * 1.5),
			shareLeaseMilliseconds: 15_000,
			addressTtlMilliseconds: 5000,
			minSubsetSize: 16,
		}, seededRandom(index + 1), hash);
		return {
			index, engine, address: `${address}:7003`, version: 0, versionAt: 0, wakeUpAt: Infinity,
		};
	}

	private _exchangeMembers(): void {
		const members = this._vms.map(({index, address}) => ({
			record: {
				identity: identityOf('vm', index),
				peerAddress: address,
				callAddress: address.replace(':7003', ':7001'),
				dataCentre: dataCentreOf(index),
				sequence: 1,
				isLeaving: false,
				isServing: true,
				holdsShare: false,
				configurationVersion: 0,
				utilisation: 0.5,
			},
			verdict: 'live' as const,
		}));
		for (const vm of this._vms) {
			for (let start = 0; start < members.length; start += membersPerMessage) {
				const message: PeerMessage = {
					protocol: 1,
					sender: members[(vm.index + 1) % members.length]!.record,
					body: {type: 'members'},
					members: members.slice(start, start + membersPerMessage),
					leaving: [],
					updates: [],
				};
				this._handle(vm, {type: 'peer-message', message});
			}
		}
	}

	private _change(change: number): void {
		const vm = this._vms[Math.floor(this._random.next() * this._vms.length)]!;
		this._handle(vm, {
			type: 'operator-change',
			requestId: change,
			change: {
				operationId: `operation-${change}`,
				who: 'operator',
				note: '',
				when: '2026-01-01T00:00:00.000Z',
				mutations: [{
					type: 'put', resource: {...backendServerOf(change, services), isLeaving: true}, expectedVersion: undefined, newResourceIdentity: identityOf('new', change),
				}],
			},
		});
	}

	private _handle(vm: SimulatedVm, event: FleetEvent): void {
		for (const effect of vm.engine.handle(event, this._now)) {
			this._execute(vm, effect);
		}

		const wakeUp = vm.engine.nextWakeUp();
		if (wakeUp !== undefined && wakeUp < vm.wakeUpAt) {
			vm.wakeUpAt = wakeUp;
			this._scheduled.add(Math.max(wakeUp, this._now), () => {
				vm.wakeUpAt = Infinity;
				this._handle(vm, {type: 'tick'});
			});
		}
	}

	private _execute(vm: SimulatedVm, effect: FleetEffect): void {
		if (effect.type === 'send') {
			const target = this._byAddress.get(effect.to);
			if (target !== undefined) {
				const isSameRegion = target.index % 2 === vm.index % 2;
				this._after(isSameRegion ? sameRegionMilliseconds : otherRegionMilliseconds, () => {
					this._handle(target, {type: 'peer-message', message: effect.message});
				});
			}
		} else if (effect.type === 'store') {
			this._sendStoreRequest(vm, effect.requestId, effect.operation);
		} else if (effect.type === 'configured' && effect.configuration.version > vm.version) {
			vm.version = effect.configuration.version;
			vm.versionAt = this._now;
		}
	}

	private _sendStoreRequest(vm: SimulatedVm, requestId: number, operation: StoreOperation): void {
		this._after(storeLatencyMilliseconds, () => {
			if (operation.type === 'watch') {
				this._watch({
					vm, requestId, prefix: operation.prefix, after: operation.after,
				}, operation.milliseconds);
				return;
			}

			const reply = this._store.handle(operation, this._now)!;
			this._handle(vm, {type: 'store-replied', requestId, reply});
			this._answerWatches();
		});
	}

	private _watch(watch: Watch, milliseconds: number): void {
		this._watches.add(watch);
		this._after(milliseconds, () => {
			if (this._watches.delete(watch)) {
				this._handle(watch.vm, {
					type: 'store-replied',
					requestId: watch.requestId,
					reply: {
						type: 'changes', entries: [], deleted: [], revision: this._store.revision,
					},
				});
			}
		});
		this._answerWatches();
	}

	private _answerWatches(): void {
		for (const watch of this._watches) {
			const reply = this._store.changes(watch.prefix, watch.after);
			if (reply !== undefined) {
				this._watches.delete(watch);
				this._after(storeLatencyMilliseconds, () => {
					this._handle(watch.vm, {type: 'store-replied', requestId: watch.requestId, reply});
				});
			}
		}
	}

	private _after(milliseconds: number, run: () => void): void {
		this._scheduled.add(this._now + milliseconds, run);
	}

	private _runUntil(until: number): void {
		for (let at = this._scheduled.earliest; at !== undefined && at <= until; at = this._scheduled.earliest) {
			this._now = Math.max(this._now, at);
			this._scheduled.takeDue(at)?.();
		}

		this._now = until;
	}
}
