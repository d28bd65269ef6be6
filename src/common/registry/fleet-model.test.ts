/** A whole fleet that the store leads, in virtual time: its deciders, the store, and the registry feeds between VMs. */
import {Timeline} from '../../proof/fuzz/timeline.ts';
import {type FleetEffect, type FleetEvent} from '../fleet/types.ts';
import {type Instant, type Milliseconds, type RandomSource} from '../model/units.ts';
import {seededRandom} from '../random/random.ts';
import {documents, settings} from './registry-driver.test.ts';
import {RegistryFleet} from './registry-fleet.ts';
import {type MemberAnnouncement, type FeedFrame} from './types.ts';
import {StoreModel} from './store-model.test.ts';
import {memberHeartbeatMilliseconds, usualLeaseMilliseconds} from './vm-loss-budget.ts';

/** The way of a frame of the feed, and of a refused connection. */
const wayMilliseconds: Milliseconds = 2;

/** Data centres of the fleet: `documents` tells them by the address. */
const dataCentres = 2;

type FleetModelOptions = {
	readonly vmCount: number;
	readonly serverCount: number;
	readonly seed: number;
	readonly convergeMilliseconds?: Milliseconds;
	readonly leaseMilliseconds?: Milliseconds;
};

/** One process of a VM. A restart makes another one. */
export class ModelProcess {
	readonly fleet: RegistryFleet;
	readonly address: string;
	readonly identity: string;
	isAlive = true;
	/** It has lost power: nothing at its address refuses a connection. */
	isDark = false;
	/** It runs, and does nothing: its timers fire when it wakes. */
	isFrozen = false;
	stage = '';
	version = 0;
	evacuated: ReadonlySet<string> = new Set();
	readonly startedAt: Instant;
	/** Processes that follow this one's feed. */
	readonly listeners = new Set<ModelProcess>();
	source: ModelProcess | undefined;
	readonly logged = new Map<string, number>();
	private readonly _model: FleetModel;
	private _wakeAt: Instant | undefined;
	private _followed = 0;
	private readonly _missed: FleetEvent[] = [];
	/** Announced before the stream stood. */
	private _unsent: MemberAnnouncement[] = [];

	constructor(model: FleetModel, identity: string, address: string, random: RandomSource, options: FleetModelOptions) {
		this._model = model;
		this.startedAt = model.timeline.now;
		this.identity = identity;
		this.address = address;
		const {convergeMilliseconds = 3000, leaseMilliseconds = usualLeaseMilliseconds} = options;
		this.fleet = new RegistryFleet({
			...settings,
			identity,
			own: {
				callAddress: address, peerAddress: address, dataCentre: address.startsWith('10.0.0') ? 'north' : 'south', linkMegabits: 100,
			},
			convergeMilliseconds,
			watchPauseMilliseconds: 0.4 * convergeMilliseconds,
			leaseMilliseconds,
			memberBeatMilliseconds: memberHeartbeatMilliseconds,
			seeds: model.seeds,
		}, documents, random);
	}

	handle(event: FleetEvent): void {
		if (!this.isAlive) {
			return;
		}

		if (this.isFrozen) {
			this._missed.push(event);
			return;
		}

		for (const effect of this.fleet.handle(event, this._model.timeline.now)) {
			this._carryOut(effect);
		}

		this._plan();
	}

	wake(): void {
		this.isFrozen = false;
		for (const event of this._missed.splice(0)) {
			this.handle(event);
		}

		this.handle({type: 'tick'});
	}

	/** `isSilent` = the VM loses power: nobody hears that its connections ended. */
	kill(isSilent = false): void {
		this.isAlive = false;
		this.isDark = isSilent;
		if (isSilent) {
			this.source?.listeners.delete(this);
		} else {
			this._leave();
		}

		for (const listener of this.listeners) {
			listener.source = undefined;
			if (!isSilent) {
				this._tellEnd(listener);
			}
		}

		this.listeners.clear();
	}

	private _tellEnd(listener: ModelProcess): void {
		this._model.timeline.after(wayMilliseconds, () => {
			listener.handle({type: 'feed-closed', source: this.address});
		});
	}

	private _carryOut(effect: FleetEffect): void {
		switch (effect.type) {
			case 'store': {
				this._model.store.execute(this.address, effect.operation, reply => {
					this.handle({type: 'store-replied', requestId: effect.requestId, reply});
				});
				break;
			}

			case 'follow-feed': {
				this._follow(effect.source);
				break;
			}

			case 'probe-vm': {
				this._probe(effect.identity, effect.address);
				break;
			}

			case 'publish-feed': {
				for (const listener of this.listeners) {
					this._deliver(listener, effect.frame);
				}

				break;
			}

			case 'announce': {
				const target = this.source;
				if (target === undefined) {
					this._unsent.push(effect.announcement);
				} else {
					this._model.timeline.after(wayMilliseconds, () => {
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
				break;
			}

			case 'log': {
				this.logged.set(effect.message, (this.logged.get(effect.message) ?? 0) + 1);
				break;
			}

			default:
		}
	}

	/** A stream ends, and the VM whose feed it was learns of it. */
	private _leave(): void {
		const {source} = this;
		source?.listeners.delete(this);
		this.source = undefined;
		if (source !== undefined) {
			this._model.timeline.after(wayMilliseconds, () => {
				if (source.listeners.has(this)) {
					return;
				}

				source.handle({type: 'member-ended', identity: this.identity});
			});
		}
	}

	private _follow(address: string | undefined): void {
		this._leave();
		this._unsent = [];
		this._followed += 1;
		const turn = this._followed;
		if (address === undefined) {
			return;
		}

		this._model.timeline.after(wayMilliseconds, () => {
			const target = this._model.at(address);
			if (turn !== this._followed || !this.isAlive) {
				return;
			}

			if (target === undefined) {
				this.handle({type: 'feed-closed', source: address});
				return;
			}

			this.source = target;
			target.listeners.add(this);
			for (const announcement of this._unsent.splice(0)) {
				target.handle({type: 'member-announced', announcement});
			}

			if (!target.isFrozen) {
				this._model.bytes += 1;
				target._deliver(this, target.fleet.feed(this._model.timeline.now));
			}
		});
	}

	/** A VM that is frozen or has lost power does not respond; elsewhere a connection is refused, or another process responds. */
	private _probe(identity: string, address: string): void {
		this._model.timeline.after(wayMilliseconds, () => {
			const target = this._model.latestAt(address);
			if (target?.isDark === true || target?.isFrozen === true) {
				return;
			}

			const isServing = target?.isAlive === true && target.fleet.isServing(identity);
			this._model.timeline.after(wayMilliseconds, () => {
				this.handle({type: 'vm-probed', identity, isServing});
			});
		});
	}

	private _deliver(listener: ModelProcess, frame: FeedFrame): void {
		this._model.timeline.after(wayMilliseconds, () => {
			if (listener.source === this) {
				listener.handle({type: 'feed-frame', source: this.address, frame});
			}
		});
	}

	private _plan(): void {
		const next = this.fleet.nextWakeUp();
		if (next === undefined || next === this._wakeAt) {
			return;
		}

		this._wakeAt = next;
		this._model.timeline.after(next - this._model.timeline.now, () => {
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
	/** Whole frames that were sent. */
	bytes = 0;
	private readonly _options: FleetModelOptions;
	private readonly _processes = new Map<string, ModelProcess>();
	private _starts = 0;

	constructor(options: FleetModelOptions) {
		this._options = options;
		this.random = seededRandom(options.seed);
		this.seeds = [0, 1, 2].map(index => this.addressOf(index));
		this.store.put('configuration', '1');
		for (let server = 0; server < options.serverCount; server++) {
			this.store.put(`servers/s${server}`, `orders 10.9.${Math.floor(server / 200)}.${server % 200} ready`);
		}
	}

	get living(): ModelProcess[] {
		return [...this._processes.values()].filter(process => process.isAlive);
	}

	addressOf(vm: number): string {
		return `10.${vm % dataCentres}.0.${Math.floor(vm / dataCentres)}:90`;
	}

	/** The latest process at this address, whether it lives or not. */
	latestAt(address: string): ModelProcess | undefined {
		return this._processes.get(address);
	}

	at(address: string): ModelProcess | undefined {
		const process = this._processes.get(address);
		return process?.isAlive === true ? process : undefined;
	}

	/** Starts a process on this VM after a moment. */
	start(vm: number, withinMilliseconds: Milliseconds = 300): void {
		this.timeline.after(this.random.next() * withinMilliseconds, () => {
			this._starts += 1;
			const process = new ModelProcess(this, `process-${this._starts}`, this.addressOf(vm), this.random, this._options);
			this._processes.set(process.address, process);
			process.handle({type: 'started'});
		});
	}

	startAll(): void {
		for (let vm = 0; vm < this._options.vmCount; vm++) {
			this.start(vm);
		}
	}

	vmOf(address: string): number {
		const [, dataCentre, , place] = address.slice(0, address.lastIndexOf(':')).split('.').map(Number);
		return (place! * dataCentres) + dataCentre!;
	}
}
