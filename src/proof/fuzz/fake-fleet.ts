/**
 * What the fleet engine does for the call engines, as a plain fake: spreads configurations and signs of
 * leaving from VM to VM, hands out shares of the measuring budget, and claims keys. It keeps its own
 * promises; the fuzzing of calls asks whether the call engine keeps its own on top of it.
 */
import {type CallConfiguration, type CallEvent, type LoadUpdate} from '../../common/calls/types.ts';
import {type HistoryEvent} from '../oracle/types.ts';
import {type CallVm} from './call-vm.ts';
import {type Network} from './network.ts';
import {type Timeline} from './timeline.ts';
import {type VmHost} from './types.ts';

type Knowledge = {version: number; readonly signs: Set<string>; isIsolated: boolean};
type Slot = {holder: CallVm | undefined; until: number};
type Sign = {readonly identity: string; readonly instance: string};

export const storeName = 'store';
const roundMilliseconds = 250;
const shareSlots = 5;
const shareTermMilliseconds = 3000;
const storeLimitMilliseconds = 500;
const storeMilliseconds = 2;
const slowStoreMilliseconds = 900;

export class FakeFleet {
	isStoreUp = true;
	isStoreSlow = false;
	/** So many of the next writes take effect without an answer. */
	answersToLose = 0;
	windowMilliseconds = 2000;
	private readonly _known = new Map<VmHost, Knowledge>();
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
		this._round();
	}

	/** VMs that have not ended. */
	get vms(): readonly CallVm[] {
		return this._vms.filter(({isEnded}) => !isEnded);
	}

	get configuration(): CallConfiguration {
		return this._configuration;
	}

	/** A new VM serves once it knows what the others know. */
	add(vm: CallVm): void {
		this._vms.push(vm);
		this._known.set(vm, {version: this._configuration.version, signs: new Set(this._signs.keys()), isIsolated: false});
		vm.feed({type: 'configured', configuration: this._configuration});
		for (const sign of this._signs.values()) {
			vm.feed({type: 'backend-server-leaving', ...sign});
		}

		this._handOutShares();
	}

	/** An operator's change through one VM, which knows it with its acceptance. False if it can't reach the store. */
	declare(through: CallVm, configuration: CallConfiguration): boolean {
		if (!this._canUseStore(through)) {
			return false;
		}

		this._configuration = configuration;
		this._known.get(through)!.version = configuration.version;
		through.feed({type: 'configured', configuration});
		this._teachAll();
		return true;
	}

	/** A VM has seen a process of a backend server say that it leaves. */
	saw(vm: VmHost, sign: Sign): void {
		const name = `${sign.identity} ${sign.instance}`;
		this._signs.set(name, sign);
		this._known.get(vm)?.signs.add(name);
		vm.feed({type: 'backend-server-leaving', ...sign});
		this._teachAll();
	}

	tellPeers(from: VmHost, update: LoadUpdate): void {
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
			this._timeline.after(storeLimitMilliseconds, () => {
				answer('unavailable');
			});
			return;
		}

		const claim = this._claimed.has(key) ? 'taken' : 'granted';
		this._claimed.add(key);
		const isLost = this.answersToLose > 0;
		this.answersToLose -= isLost ? 1 : 0;
		this._timeline.after(isLost ? storeLimitMilliseconds : this._storeMilliseconds(), () => {
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
		return this.isStoreUp && !vm.isPaused && this._network.canTalk(vm.name, storeName);
	}

	private _round(): void {
		this._markIsolated();
		this._teachAll();
		this._handOutShares();
		this._timeline.after(roundMilliseconds, () => {
			this._round();
		});
	}

	/** Updates are told at once; the rounds are for those that could not be reached then. */
	private _teachAll(): void {
		for (const vm of this.vms) {
			this._teach(vm);
		}
	}

	/** One step of gossip: what the store or a VM that can send to this one knows. */
	private _teach(vm: CallVm): void {
		const own = this._known.get(vm)!;
		const sources = this.vms.filter(other => other !== vm && !other.isPaused && this._network.canPass(other.name, vm.name)).map(other => this._known.get(other)!);
		const newest = this._canUseStore(vm) ? this._configuration.version : Math.max(own.version, ...sources.map(({version}) => version));
		if (newest > own.version && newest === this._configuration.version) {
			own.version = newest;
			this._feedLater(vm, {type: 'configured', configuration: this._configuration});
		}

		for (const name of sources.flatMap(({signs}) => [...signs])) {
			if (!own.signs.has(name)) {
				own.signs.add(name);
				this._feedLater(vm, {type: 'backend-server-leaving', ...this._signs.get(name)!});
			}
		}
	}

	private _feedLater(vm: CallVm, event: CallEvent): void {
		this._timeline.after(storeMilliseconds, () => {
			vm.feed(event);
		});
	}

	/** A VM is isolated if it can't be told what another, running VM or the store knows. */
	private _markIsolated(): void {
		const running = this.vms.filter(({isPaused}) => !isPaused);
		for (const vm of this.vms) {
			const heard = new Set<string>([vm.name]);
			for (let size = 0; size < heard.size;) {
				size = heard.size;
				for (const {name} of running) {
					if ([...heard].some(to => this._network.canPass(name, to))) {
						heard.add(name);
					}
				}
			}

			const hearsStore = this.isStoreUp && [...heard].some(name => this._network.canTalk(name, storeName));
			// The only VM that knew may have died or stopped with the store out of reach.
			const hearsNewest = hearsStore || running.some(other => heard.has(other.name) && this._known.get(other)!.version === this._configuration.version);
			this._setIsolated(vm, !vm.isPaused && (!hearsNewest || running.some(({name}) => !heard.has(name)) || (this.isStoreUp && !hearsStore)));
		}
	}

	private _setIsolated(vm: CallVm, isIsolated: boolean): void {
		const known = this._known.get(vm)!;
		if (known.isIsolated !== isIsolated) {
			known.isIsolated = isIsolated;
			this._record({
				type: isIsolated ? 'fault-began' : 'fault-ended', at: this._timeline.now, party: vm.name, fault: 'isolated',
			});
			vm.feed({type: 'cut-off', isCutOff: isIsolated});
		}
	}

	/** A slot's next holder begins a whole window after the old right has ended. */
	private _handOutShares(): void {
		const {now} = this._timeline;
		for (const vm of this.vms.filter(one => this._canUseStore(one))) {
			const own = this._slots.find(({holder, until}) => holder === vm && until > now);
			const slot = own ?? this._slots.find(({until}) => until <= now);
			if (slot === undefined) {
				continue;
			}

			const from = own === undefined ? Math.max(now, slot.until + this.windowMilliseconds) : now;
			slot.holder = vm;
			slot.until = from + shareTermMilliseconds;
			const offset = vm.now - now;
			this._timeline.after(this._storeMilliseconds(), () => {
				vm.feed({
					type: 'shares',
					shares: {
						loadProbeFraction: 1 / shareSlots,
						loadProbesFrom: from + offset,
						loadProbesUntil: from + shareTermMilliseconds + offset,
						connectionFraction: 1 / shareSlots,
						vmCount: this.vms.length,
					},
				});
			});
		}
	}
}
