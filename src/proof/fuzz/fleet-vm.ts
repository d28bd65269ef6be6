/**
 * One VM of the fuzzed fleet: a fleet engine, and in place of the call engine a plain user of what it
 * decides, which spends all that its share allows and gives work to every backend server that it may.
 */
import {type CallConfiguration, type FleetShares} from '../../common/calls/types.ts';
import {
	type FleetEffect, type FleetEngine, type FleetEvent, type FleetStage, type OperatorAnswer, type OperatorChange,
} from '../../common/fleet/types.ts';
import {type StoreOperation, type StoreReply} from '../../common/platform/types.ts';
import {type HistoryEvent} from '../oracle/types.ts';
import {type Timeline} from './timeline.ts';

/** What a VM needs of the world round it. */
export type FleetSurroundings = {
	readonly timeline: Timeline;
	record(event: HistoryEvent): void;
	/** A VM acts on a configuration from now on. */
	configured(configuration: CallConfiguration): void;
	send(from: FleetVm, effect: Extract<FleetEffect, {type: 'send'}>): void;
	store(from: FleetVm, operation: StoreOperation, reply: (reply: StoreReply) => void): void;
};

/** What one backend server may be measured by the whole fleet, and in which time. */
export const budgetCalls = 40;
export const budgetWindowMilliseconds = 2000;

const workMilliseconds = 1000;
const spendMilliseconds = 50;
/** A woken VM handles waiting events before it places calls; the guard round the call engine sees to that. */
const catchUpMilliseconds = 500;
const historyReach = 20;

/** Clocks with offsets round differently; a timer must not miss its own instant for that. */
const rounding = 1e-6;

export class FleetVm {
	readonly name: string;
	readonly address: string;
	readonly engine: FleetEngine;
	stage: FleetStage = 'starting';
	configuration: CallConfiguration | undefined;
	/** Names of the signs of leaving that it has been told. */
	readonly signs = new Set<string>();
	private readonly _world: FleetSurroundings;
	private readonly _answers = new Map<number, (answer: OperatorAnswer) => void>();
	private readonly _spent: number[] = [];
	private _shares: FleetShares | undefined;
	private _clockOffset: number;
	private _backlog: Array<() => void> | undefined;
	private _pausedAt = 0;
	private _lastRequestId = 0;
	private _works = 0;
	private _worksAgainAt = 0;

	constructor(name: string, engine: FleetEngine, clockOffset: number, world: FleetSurroundings) {
		this.name = name;
		this.address = `${name}:1`;
		this.engine = engine;
		this._clockOffset = clockOffset;
		this._world = world;
	}

	get now(): number {
		return this._world.timeline.now + this._clockOffset;
	}

	get isPaused(): boolean {
		return this._backlog !== undefined;
	}

	get isEnded(): boolean {
		return this.stage === 'ended';
	}

	/** It knows a configuration and gives service. */
	get isServing(): boolean {
		return !this.isEnded && this.stage !== 'starting';
	}

	start(): void {
		this.feed({type: 'started'});
		this._work();
		this._spend();
	}

	feed(event: FleetEvent): void {
		this._whenRunning(() => {
			for (const effect of this.engine.handle(event, this.now)) {
				this._carryOut(effect);
			}

			this._scheduleTick();
		});
	}

	change(change: OperatorChange, onAnswer: (answer: OperatorAnswer) => void): void {
		this._whenRunning(() => {
			this._answers.set(++this._lastRequestId, onAnswer);
			this.feed({type: 'operator-change', requestId: this._lastRequestId, change});
		});
	}

	pause(): void {
		this._backlog = [];
		this._pausedAt = this._world.timeline.now;
	}

	/** Goes on; `isClockStopped` as after a suspension by the hypervisor, told before anything else. */
	resume(isClockStopped: boolean): void {
		const backlog = this._backlog ?? [];
		this._backlog = undefined;
		this._worksAgainAt = this._world.timeline.now + catchUpMilliseconds;
		if (isClockStopped) {
			const milliseconds = this._world.timeline.now - this._pausedAt;
			this._clockOffset -= milliseconds;
			this.feed({type: 'woke', milliseconds});
		}

		this._tick();
		for (const task of backlog) {
			this._whenRunning(task);
		}
	}

	kill(): void {
		this._enter('ended');
		this._backlog = undefined;
	}

	private _whenRunning(task: () => void): void {
		if (this._backlog !== undefined) {
			this._backlog.push(task);
		} else if (!this.isEnded) {
			task();
		}
	}

	private _tick(): void {
		const due = this.engine.nextWakeUp();
		if (due !== undefined && due <= this.now + rounding && !this.isPaused) {
			this.feed({type: 'tick'});
		}
	}

	private _scheduleTick(): void {
		const due = this.engine.nextWakeUp();
		if (due !== undefined) {
			this._world.timeline.after(Math.max(rounding, due - this.now), () => {
				this._tick();
			});
		}
	}

	private _carryOut(effect: FleetEffect): void {
		switch (effect.type) {
			case 'store': {
				this._world.store(this, effect.operation, reply => {
					this.feed({type: 'store-replied', requestId: effect.requestId, reply});
				});
				break;
			}

			case 'send': {
				this._world.send(this, effect);
				break;
			}

			case 'configured': {
				this._configure(effect.configuration);
				break;
			}

			case 'shares': {
				this._shares = effect.shares;
				break;
			}

			case 'backend-server-leaving': {
				this.signs.add(`${effect.sign.identity} ${effect.sign.instance}`);
				break;
			}

			case 'operator-answer': {
				this._answers.get(effect.requestId)?.(effect.answer);
				break;
			}

			case 'stage': {
				this._enter(effect.stage);
				break;
			}

			default:
		}
	}

	private _enter(stage: FleetStage): void {
		if (stage === 'serving') {
			this._world.record({type: 'vm-serves', at: this._world.timeline.now, vm: this.name});
		} else if (stage === 'ended') {
			this._world.record({type: 'vm-ended', at: this._world.timeline.now, vm: this.name});
		}

		this.stage = stage;
	}

	private _configure(configuration: CallConfiguration): void {
		const {timeline} = this._world;
		this.configuration = configuration;
		this._world.configured(configuration);
		const content = JSON.stringify([[...configuration.services], [...configuration.backendServers].toSorted(([one], [other]) => one < other ? -1 : 1)]);
		this._world.record({
			type: 'vm-acts-on', at: timeline.now, vm: this.name, version: configuration.version, content,
		});
		for (const {version, operationId} of this.engine.history(historyReach)) {
			this._world.record({
				type: 'version-seen', at: timeline.now, vm: this.name, version, change: operationId,
			});
		}
	}

	/** Gives one call to each backend server that is not known to leave. */
	private _work(): void {
		this._world.timeline.after(workMilliseconds, () => {
			this._work();
		});
		if (this.isPaused || !this.isServing || this._world.timeline.now < this._worksAgainAt) {
			return;
		}

		for (const [identity, {isLeaving}] of this.configuration?.backendServers ?? []) {
			if (!isLeaving && !this.signs.has(`${identity} ${identity}-1`)) {
				const call = `${this.name}-${++this._works}`;
				const at = this._world.timeline.now;
				this._world.record({
					type: 'call-sent', at, call, vm: this.name, isIdempotent: true, due: at + 1,
				});
				this._world.record({
					type: 'run-began', at, run: call, call, backendServer: identity,
				});
				this._world.record({type: 'answer-broken', at, call});
			}
		}
	}

	/** Measures one backend server as often as the share allows, all at once whenever it may. */
	private _spend(): void {
		this._world.timeline.after(spendMilliseconds, () => {
			this._spend();
		});
		const {now} = this;
		const shares = this._shares;
		if (shares === undefined || this.isPaused || this.isEnded || now < shares.loadProbesFrom || now >= shares.loadProbesUntil) {
			return;
		}

		while (this._spent[0] !== undefined && this._spent[0] <= now - budgetWindowMilliseconds) {
			this._spent.shift();
		}

		const allowed = Math.floor((shares.loadProbeFraction * budgetCalls) + 1e-9);
		while (this._spent.length < allowed) {
			this._spent.push(now);
			this._world.record({type: 'measured', at: this._world.timeline.now, backendServer: 'measured'});
		}
	}
}
