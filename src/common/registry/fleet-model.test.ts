/** A whole fleet in virtual time: its state machines, the store, and the registry feeds between VMs. */
import {Timeline} from '../../proof/fuzz/timeline.ts';
import {type CallEngine, type LoadUpdate} from '../calls/types.ts';
import {EntryVm, type FleetDecider, isCallEffect} from '../entry-vm/entry-vm.ts';
import {type EntryVmEvent, type ExternalCallEffect, type ExternalFleetEffect} from '../entry-vm/types.ts';
import {testHash} from '../fleet/test-utilities.test.ts';
import {type FleetEffect} from '../fleet/types.ts';
import {Limits} from '../limits/limits.ts';
import {type SendDatagramEffect} from '../limits/types.ts';
import {type Instant, type Milliseconds, type RandomSource} from '../model/units.ts';
import {seededRandom} from '../random/random.ts';
import {documents, settings} from './registry-driver.test.ts';
import {RegistryFleet} from './registry-fleet.ts';
import {type DocumentCodec, type MemberAnnouncement, type FeedFrame} from './types.ts';
import {StoreModel} from './store-model.test.ts';
import {defaultMemberHeartbeatMilliseconds, defaultLeaseMilliseconds} from './vm-loss-budget.ts';

/** Delivery time of a feed frame, and of a refused connection. */
const transferMilliseconds: Milliseconds = 2;

/** Data centres of the fleet. `documents` derives the data centre from the address. */
const dataCentreCount = 2;

type FleetModelOptions = {
	readonly vmCount: number;
	readonly serverCount: number;
	readonly seed: number;
	readonly convergeMilliseconds?: Milliseconds;
	readonly leaseMilliseconds?: Milliseconds;
	/** Call engines and backend servers; without them the model has fleets alone. */
	readonly calls?: CallModel;
	readonly documents?: DocumentCodec;
	/** The configuration has an organisation with a limit, and all VMs have a datagram socket. */
	readonly hasLimits?: boolean;
	/** Replaces effects of the fleet engines before they are executed, such as shares by a wrong list of VMs. */
	readonly alterEffect?: (process: ModelProcess, effect: FleetEffect) => FleetEffect;
	/** Chance that a datagram is lost. */
	readonly datagramLossChance?: number;
	/** Rate of the clock of each process, beside that of the store. */
	readonly clockRate?: () => number;
};

/** The calls of a model: creates the call engine of each process and executes its effects. */
export type CallModel = {
	createEngine(random: RandomSource, dataCentre: string): CallEngine;
	execute(process: ModelProcess, effect: ExternalCallEffect): void;
};

/** A call engine without calls, for models of fleets alone. */
const idleCallEngine: CallEngine = {
	handle: () => [],
	nextWakeUp: () => undefined,
	load: () => ({callsInFlight: 0, callsQueued: 0, inFlightOfServices: new Map()}),
	status: () => ({
		configurationVersion: 0, callsInFlight: 0, callsQueued: 0, backendServers: [], quarantined: [],
	}),
};

/** One process of a VM; a restart creates another one. */
export class ModelProcess {
	readonly fleet: RegistryFleet;
	readonly entryVm: EntryVm<FleetDecider>;
	readonly address: string;
	readonly identity: string;
	isAlive = true;
	/** The VM has lost power: connections to its address are not refused but get no response. */
	isPoweredOff = false;
	/** The process is paused: its events and timers are handled when it wakes. */
	isFrozen = false;
	stage = '';
	version = 0;
	evacuated: ReadonlySet<string> = new Set();
	/** Backend servers in force that accept new calls, by identity. */
	usableServers: ReadonlySet<string> = new Set();
	readonly startedAt: Instant;
	/** Processes that follow this one's feed. */
	readonly followers = new Set<ModelProcess>();
	source: ModelProcess | undefined;
	readonly logged = new Map<string, number>();
	/** The last report of the rate limits' slots. */
	limitSlots: (FleetEffect & {type: 'limit-slots'}) | undefined;
	private readonly _clockRate: number;
	/** Time for which this process's clock stood still. */
	private _stoodStill: Milliseconds = 0;
	private _suspendedAt: Instant | undefined;
	private readonly _model: FleetModel;
	private _wakeAt: Instant | undefined;
	private _connectionCount = 0;
	private readonly _deferredEvents: EntryVmEvent[] = [];
	/** Announcements made before the stream was open. */
	private _unsentAnnouncements: MemberAnnouncement[] = [];

	constructor(model: FleetModel, identity: string, address: string, random: RandomSource, options: FleetModelOptions) {
		this._model = model;
		this.startedAt = model.timeline.now;
		this._clockRate = options.clockRate?.() ?? 1;
		this.identity = identity;
		this.address = address;
		const {convergeMilliseconds = 3000, leaseMilliseconds = defaultLeaseMilliseconds} = options;
		const dataCentre = address.startsWith('10.0.0') ? 'north' : 'south';
		this.fleet = new RegistryFleet({
			...settings,
			identity,
			own: {
				callAddress: address, peerAddress: address, dataCentre, linkMegabits: 100,
			},
			...(options.hasLimits === true ? {limitsAddress: model.limitsAddressOf(address)} : {}),
			convergeMilliseconds,
			watchPauseMilliseconds: 0.4 * convergeMilliseconds,
			leaseMilliseconds,
			memberHeartbeatMilliseconds: defaultMemberHeartbeatMilliseconds,
			seeds: model.seeds,
		}, options.documents ?? documents, random);
		const {fleet} = this;
		const observed: FleetDecider = {
			handle: (event, now) => {
				const {alterEffect} = options;
				const effects = alterEffect === undefined ? fleet.handle(event, now) : fleet.handle(event, now).map(effect => alterEffect(this, effect));
				this.limitSlots = effects.findLast(effect => effect.type === 'limit-slots') ?? this.limitSlots;
				return effects;
			},
			nextWakeUp: () => fleet.nextWakeUp(),
		};
		const limits = options.hasLimits === true ? new Limits({dataCentre, random, hash: testHash}) : undefined;
		this.entryVm = new EntryVm(options.calls?.createEngine(random, dataCentre) ?? idleCallEngine, observed, limits);
	}

	/** This process's monotonic clock. */
	get now(): Instant {
		return ((this._suspendedAt ?? this._model.timeline.now) - this._stoodStill) * this._clockRate;
	}

	/** Slots for which this process grants now. */
	get grantedSlots(): number[] {
		const isRunning = this.isAlive && !this.isFrozen;
		return isRunning ? (this.limitSlots?.own ?? []).filter(({from, until}) => from <= this.now && this.now < until).map(({slot}) => slot) : [];
	}

	/** The VM is suspended: its clock stands still. */
	suspend(): void {
		this.isFrozen = true;
		this._suspendedAt ??= this._model.timeline.now;
	}

	handle(event: EntryVmEvent): void {
		if (!this.isAlive) {
			return;
		}

		if (this.isFrozen) {
			this._deferredEvents.push(event);
			return;
		}

		for (const effect of this.entryVm.handle(event, this.now)) {
			if (isCallEffect(effect)) {
				this._model.calls?.execute(this, effect);
			} else if (effect.type === 'send-datagram') {
				this._sendDatagram(effect);
			} else {
				this._execute(effect);
			}
		}

		this._scheduleTick();
	}

	wake(): void {
		this.isFrozen = false;
		if (this._suspendedAt !== undefined) {
			const milliseconds = this._model.timeline.now - this._suspendedAt;
			this._stoodStill += milliseconds;
			this._suspendedAt = undefined;
			this.handle({type: 'woke', milliseconds});
		}

		for (const event of this._deferredEvents.splice(0)) {
			this.handle(event);
		}

		this.handle({type: 'tick'});
	}

	/** `isSilent` = the VM loses power, and its peers are not notified of closed connections. */
	kill(isSilent = false): void {
		this.isAlive = false;
		this.isPoweredOff = isSilent;
		if (isSilent) {
			this.source?.followers.delete(this);
		} else {
			this._closeStream();
		}

		for (const follower of this.followers) {
			follower.source = undefined;
			if (!isSilent) {
				this._sendFeedClosed(follower);
			}
		}

		this.followers.clear();
	}

	private _sendFeedClosed(follower: ModelProcess): void {
		this._model.timeline.after(transferMilliseconds, () => {
			follower.handle({type: 'feed-closed', source: this.address});
		});
	}

	private _execute(effect: ExternalFleetEffect): void {
		switch (effect.type) {
			case 'store': {
				this._model.store.execute(this.address, effect.operation, reply => {
					this.handle({type: 'store-replied', requestId: effect.requestId, reply});
				});
				break;
			}

			case 'follow-feed': {
				this._connect(effect.source);
				break;
			}

			case 'probe-vm': {
				this._probe(effect.identity, effect.address);
				break;
			}

			case 'publish-feed': {
				for (const follower of this.followers) {
					this._deliver(follower, effect.frame);
				}

				break;
			}

			case 'send-updates': {
				this._sendUpdates(effect.to, effect.updates);
				break;
			}

			case 'compare-evidence': {
				this._compareEvidence(effect.to, effect.known);
				break;
			}

			case 'announce': {
				const target = this.source;
				if (target === undefined) {
					this._unsentAnnouncements.push(effect.announcement);
				} else {
					this._model.timeline.after(transferMilliseconds, () => {
						target.handle({type: 'member-announced', announcement: effect.announcement});
					});
				}

				break;
			}

			case 'stage': {
				this.stage = effect.stage;
				break;
			}

			case 'configured': {
				this.version = effect.configuration.version;
				this.evacuated = effect.configuration.evacuatedDataCentres ?? new Set();
				this.usableServers = new Set([...effect.configuration.backendServers].filter(([, {isLeaving}]) => !isLeaving).map(([identity]) => identity));
				break;
			}

			case 'log': {
				this.logged.set(effect.message, (this.logged.get(effect.message) ?? 0) + 1);
				break;
			}

			default:
		}
	}

	private _sendDatagram({to, message}: SendDatagramEffect): void {
		this._model.datagrams += 1;
		const address = this._model.callAddressOf(to);
		if (this._model.isDatagramLost()) {
			return;
		}

		this._model.timeline.after(transferMilliseconds, () => {
			if (!this._model.isCut(this.address, address)) {
				this._model.runningAt(address)?.handle({type: 'datagram', from: this._model.limitsAddressOf(this.address), message});
			}
		});
	}

	private _sendUpdates(to: readonly string[], updates: readonly LoadUpdate[]): void {
		this._model.updateMessages += to.length;
		this._model.updateBytes += to.length * JSON.stringify(updates).length;
		for (const address of to.filter(one => !this._model.isCut(this.address, one))) {
			this._model.timeline.after(transferMilliseconds, () => {
				this._model.runningAt(address)?.handle({type: 'updates-received', updates});
			});
		}
	}

	private _compareEvidence(to: string, known: readonly string[]): void {
		this._model.updateMessages += 1;
		this._model.updateBytes += JSON.stringify(known).length;
		this._model.timeline.after(transferMilliseconds, () => {
			const target = this._model.isCut(this.address, to) ? undefined : this._model.runningAt(to);
			if (target === undefined || target.isFrozen) {
				return;
			}

			const reply = target.fleet.compareEvidence(known, target.now);
			this._model.updateBytes += JSON.stringify(reply).length;
			this._model.timeline.after(transferMilliseconds, () => {
				this.handle({type: 'evidence-compared', from: to, reply});
			});
		});
	}

	/** Closes the stream and notifies the VM whose feed was followed. */
	private _closeStream(): void {
		const {source} = this;
		source?.followers.delete(this);
		this.source = undefined;
		if (source !== undefined) {
			this._model.timeline.after(transferMilliseconds, () => {
				if (source.followers.has(this)) {
					return;
				}

				source.handle({type: 'member-ended', identity: this.identity});
			});
		}
	}

	private _connect(address: string | undefined): void {
		this._closeStream();
		this._unsentAnnouncements = [];
		this._connectionCount += 1;
		const connection = this._connectionCount;
		if (address === undefined) {
			return;
		}

		this._model.timeline.after(transferMilliseconds, () => {
			const target = this._model.isCut(this.address, address) ? undefined : this._model.runningAt(address);
			if (connection !== this._connectionCount || !this.isAlive) {
				return;
			}

			if (target === undefined) {
				this.handle({type: 'feed-closed', source: address});
				return;
			}

			this.source = target;
			target.followers.add(this);
			for (const announcement of this._unsentAnnouncements.splice(0)) {
				target.handle({type: 'member-announced', announcement});
			}

			if (!target.isFrozen) {
				this._model.snapshotCount += 1;
				target._deliver(this, target.fleet.feed(target.now));
			}
		});
	}

	/**
	 * A VM that is frozen or has lost power does not respond. Otherwise the connection is refused, or a later process
	 * at the address responds.
	 */
	private _probe(identity: string, address: string): void {
		this._model.timeline.after(transferMilliseconds, () => {
			const target = this._model.latestAt(address);
			if (target?.isPoweredOff === true || target?.isFrozen === true) {
				return;
			}

			const isServing = target?.isAlive === true && target.fleet.isServing(identity);
			this._model.timeline.after(transferMilliseconds, () => {
				this.handle({type: 'vm-probed', identity, isServing});
			});
		});
	}

	private _deliver(follower: ModelProcess, frame: FeedFrame): void {
		this._model.timeline.after(transferMilliseconds, () => {
			if (follower.source === this && !this._model.isCut(this.address, follower.address)) {
				follower.handle({type: 'feed-frame', source: this.address, frame});
			}
		});
	}

	private _scheduleTick(): void {
		const next = this.entryVm.nextWakeUp();
		if (next === undefined || next === this._wakeAt) {
			return;
		}

		this._wakeAt = next;
		// Rounding must not let a tick come before its time, which would repeat it without end.
		const isOwnClock = this._clockRate !== 1 || this._stoodStill > 0;
		this._model.timeline.after(((next - this.now) / this._clockRate) + (isOwnClock ? 0.001 : 0), () => {
			if (this._wakeAt === next) {
				this._wakeAt = undefined;
				this.handle({type: 'tick'});
			}
		});
	}
}

export class FleetModel {
	readonly timeline = new Timeline();
	readonly store = new StoreModel(this.timeline);
	readonly seeds: readonly string[];
	readonly random: RandomSource;
	/** Number of snapshots sent. */
	snapshotCount = 0;
	/** Addresses of VMs that reach no other VM. */
	readonly cutVms = new Set<string>();
	/** Messages with updates between VMs, and their bytes without heads. */
	updateMessages = 0;
	updateBytes = 0;
	/** Datagrams about rate limits. */
	datagrams = 0;
	private readonly _options: FleetModelOptions;
	private readonly _processes = new Map<string, ModelProcess>();
	private _starts = 0;

	constructor(options: FleetModelOptions) {
		this._options = options;
		this.random = seededRandom(options.seed);
		this.seeds = [0, 1, 2].map(index => this.addressOf(index));
		this.store.put('configuration', options.hasLimits === true ? '1 100' : '1');
		for (let server = 0; server < options.serverCount; server++) {
			this.store.put(`servers/s${server}`, `orders 10.9.${Math.floor(server / 200)}.${server % 200} ready`);
		}
	}

	get calls(): CallModel | undefined {
		return this._options.calls;
	}

	get running(): ModelProcess[] {
		return [...this._processes.values()].filter(process => process.isAlive);
	}

	isCut(one: string, other: string): boolean {
		return this.cutVms.has(one) || this.cutVms.has(other);
	}

	addressOf(vm: number): string {
		return `10.${vm % dataCentreCount}.0.${Math.floor(vm / dataCentreCount)}:90`;
	}

	limitsAddressOf(address: string): string {
		return address.replace(':90', ':70');
	}

	isDatagramLost(): boolean {
		const {datagramLossChance = 0} = this._options;
		return datagramLossChance > 0 && this.random.next() < datagramLossChance;
	}

	callAddressOf(limitsAddress: string): string {
		return limitsAddress.replace(':70', ':90');
	}

	/** The latest process at this address, running or not. */
	latestAt(address: string): ModelProcess | undefined {
		return this._processes.get(address);
	}

	runningAt(address: string): ModelProcess | undefined {
		const process = this._processes.get(address);
		return process?.isAlive === true ? process : undefined;
	}

	/** Starts a process on this VM after a random delay. */
	start(vm: number, withinMilliseconds: Milliseconds = 300): void {
		this.timeline.after(this.random.next() * withinMilliseconds, () => {
			this._starts += 1;
			const process = new ModelProcess(this, `process-${this._starts}`, this.addressOf(vm), this.random, this._options);
			this._processes.set(process.address, process);
			process.handle({type: 'started'});
			if (this._options.hasLimits === true) {
				process.handle({type: 'limits-socket', isOpen: true});
			}
		});
	}

	startAll(): void {
		for (let vm = 0; vm < this._options.vmCount; vm++) {
			this.start(vm);
		}
	}

	vmIndexOf(address: string): number {
		const [, dataCentre, , place] = address.slice(0, address.lastIndexOf(':')).split('.').map(Number);
		return (place! * dataCentreCount) + dataCentre!;
	}
}
