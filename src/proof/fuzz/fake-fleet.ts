/**
 * Fake of the fleet engine and the store for the call engines: distributes configurations and signs of leaving among
 * the VMs, assigns shares of the load probe budget, and claims idempotency keys. The fake itself is correct, so
 * violations found by the fuzzed calls are faults of the call engine.
 */
import {type CallConfiguration, type CallEvent, type LoadUpdate} from '../../common/calls/types.ts';
import {type HistoryEvent} from '../oracle/types.ts';
import {type CallVm} from './call-vm.ts';
import {type Network} from './network.ts';
import {type Timeline} from './timeline.ts';
import {type VmHost} from './types.ts';

type VmView = {version: number; readonly signs: Set<string>; isIsolated: boolean};
type Slot = {holder: CallVm | undefined; until: number};
type Sign = {readonly identity: string; readonly instance: string};

export const storeName = 'store';
const gossipMilliseconds = 250;
const shareSlots = 5;
const shareLeaseMilliseconds = 3000;
const storeTimeoutMilliseconds = 500;
const storeMilliseconds = 2;
const slowStoreMilliseconds = 900;

export class FakeFleet {
	isStoreUp = true;
	isStoreSlow = false;
	/** Number of next key claims that take effect but whose answers are lost. */
	answersToLose = 0;
	windowMilliseconds = 2000;
	private readonly _views = new Map<VmHost, VmView>();
	private readonly _vms: CallVm[] = [];
	private readonly _signs = new Map<string, Sign>();
	private readonly _slots: Slot[] = Array.from({length: shareSlots}, () => ({holder: undefined, until: Number.NEGATIVE_INFINITY}));
	private readonly _claimed = new Set<string>();
	private _configuration: CallConfiguration;

	constructor(
		configuration: CallConfiguration,
		private readonly _timeline: Timeline,
		private readonly _network: Network,
		private readonly _record: (event: HistoryEvent) => void,
	) {
		this._configuration = configuration;
		this._runGossipRound();
	}

	/** VMs that have not ended. */
	get vms(): readonly CallVm[] {
		return this._vms.filter(({isEnded}) => !isEnded);
	}

	get configuration(): CallConfiguration {
		return this._configuration;
	}

	/** Adds a VM with the current configuration and all signs of leaving. */
	add(vm: CallVm): void {
		this._vms.push(vm);
		this._views.set(vm, {version: this._configuration.version, signs: new Set(this._signs.keys()), isIsolated: false});
		vm.feed({type: 'configured', configuration: this._configuration});
		for (const sign of this._signs.values()) {
			vm.feed({type: 'backend-server-leaving', ...sign});
		}

		this._assignShares();
	}

	/** Applies an operator's change through one VM, which receives the configuration at once. Returns false if the VM cannot use the store. */
	declare(vm: CallVm, configuration: CallConfiguration): boolean {
		if (!this._canUseStore(vm)) {
			return false;
		}

		this._configuration = configuration;
		this._views.get(vm)!.version = configuration.version;
		vm.feed({type: 'configured', configuration});
		this._updateViews();
		return true;
	}

	/** Adds a sign of leaving that the VM has observed. */
	addLeavingSign(vm: VmHost, sign: Sign): void {
		const name = `${sign.identity} ${sign.instance}`;
		this._signs.set(name, sign);
		this._views.get(vm)?.signs.add(name);
		vm.feed({type: 'backend-server-leaving', ...sign});
		this._updateViews();
	}

	sendToPeers(from: VmHost, update: LoadUpdate): void {
		for (const to of this.vms) {
			if (to !== from && this._network.canPass(from.name, to.name)) {
				this._timeline.after(5, () => {
					to.feed({type: 'peer-updates', updates: [{...update, ageMilliseconds: update.ageMilliseconds + 5}]});
				});
			}
		}
	}

	claimKey(vm: VmHost, key: string, answer: (claim: 'granted' | 'taken' | 'unavailable') => void): void {
		if (!this._canUseStore(vm)) {
			this._timeline.after(storeTimeoutMilliseconds, () => {
				answer('unavailable');
			});
			return;
		}

		const claim = this._claimed.has(key) ? 'taken' : 'granted';
		this._claimed.add(key);
		const isLost = this.answersToLose > 0;
		this.answersToLose -= isLost ? 1 : 0;
		this._timeline.after(isLost ? storeTimeoutMilliseconds : this._storeMilliseconds(), () => {
			answer(isLost ? 'unavailable' : claim);
		});
	}

	releaseKey(vm: VmHost, key: string): void {
		if (this._canUseStore(vm)) {
			this._claimed.delete(key);
		}
	}

	private _storeMilliseconds(): number {
		return this.isStoreSlow ? slowStoreMilliseconds : storeMilliseconds;
	}

	private _canUseStore(vm: VmHost): boolean {
		return this.isStoreUp && !vm.isPaused && this._network.canPassBothWays(vm.name, storeName);
	}

	private _runGossipRound(): void {
		this._markIsolated();
		this._updateViews();
		this._assignShares();
		this._timeline.after(gossipMilliseconds, () => {
			this._runGossipRound();
		});
	}

	/** Runs for each update at once, and in each gossip round for VMs that could not be reached before. */
	private _updateViews(): void {
		for (const vm of this.vms) {
			this._updateView(vm);
		}
	}

	/** One step of gossip: the VM receives the state of the store, if it can use the store, and of all VMs that can send to it. */
	private _updateView(vm: CallVm): void {
		const view = this._views.get(vm)!;
		const sources = this.vms.filter(other => other !== vm && !other.isPaused && this._network.canPass(other.name, vm.name)).map(other => this._views.get(other)!);
		const newest = this._canUseStore(vm) ? this._configuration.version : Math.max(view.version, ...sources.map(({version}) => version));
		if (newest > view.version && newest === this._configuration.version) {
			view.version = newest;
			this._feedLater(vm, {type: 'configured', configuration: this._configuration});
		}

		for (const name of sources.flatMap(({signs}) => [...signs])) {
			if (!view.signs.has(name)) {
				view.signs.add(name);
				this._feedLater(vm, {type: 'backend-server-leaving', ...this._signs.get(name)!});
			}
		}
	}

	private _feedLater(vm: CallVm, event: CallEvent): void {
		this._timeline.after(storeMilliseconds, () => {
			vm.feed(event);
		});
	}

	/** A VM is isolated if updates from some running VM or from the store cannot reach it, directly or through other VMs. */
	private _markIsolated(): void {
		const running = this.vms.filter(({isPaused}) => !isPaused);
		for (const vm of this.vms) {
			const reachableFrom = new Set<string>([vm.name]);
			for (let size = 0; size < reachableFrom.size;) {
				size = reachableFrom.size;
				for (const {name} of running) {
					if ([...reachableFrom].some(to => this._network.canPass(name, to))) {
						reachableFrom.add(name);
					}
				}
			}

			const isStoreReachable = this.isStoreUp && [...reachableFrom].some(name => this._network.canPassBothWays(name, storeName));
			// The only VM with the newest configuration may have ended or been paused while the store is unavailable.
			const isNewestReachable = isStoreReachable || running.some(other => reachableFrom.has(other.name) && this._views.get(other)!.version === this._configuration.version);
			this._setIsolated(vm, !vm.isPaused && (!isNewestReachable || running.some(({name}) => !reachableFrom.has(name)) || (this.isStoreUp && !isStoreReachable)));
		}
	}

	private _setIsolated(vm: CallVm, isIsolated: boolean): void {
		const view = this._views.get(vm)!;
		if (view.isIsolated !== isIsolated) {
			view.isIsolated = isIsolated;
			this._record({
				type: isIsolated ? 'fault-began' : 'fault-ended', at: this._timeline.now, party: vm.name, fault: 'isolated',
			});
			vm.feed({type: 'cut-off', isCutOff: isIsolated});
		}
	}

	/** The next holder of a slot may send load probes only a whole budget window after the previous lease has expired. */
	private _assignShares(): void {
		const {now} = this._timeline;
		for (const vm of this.vms.filter(one => this._canUseStore(one))) {
			const ownSlot = this._slots.find(({holder, until}) => holder === vm && until > now);
			const slot = ownSlot ?? this._slots.find(({until}) => until <= now);
			if (slot === undefined) {
				continue;
			}

			const from = ownSlot === undefined ? Math.max(now, slot.until + this.windowMilliseconds) : now;
			slot.holder = vm;
			slot.until = from + shareLeaseMilliseconds;
			const offset = vm.now - now;
			this._timeline.after(this._storeMilliseconds(), () => {
				vm.feed({
					type: 'shares',
					shares: {
						loadProbeFraction: 1 / shareSlots,
						loadProbesFrom: from + offset,
						loadProbesUntil: from + shareLeaseMilliseconds + offset,
						connectionFraction: 1 / shareSlots,
						vmCount: this.vms.length,
					},
				});
			});
		}
	}
}
