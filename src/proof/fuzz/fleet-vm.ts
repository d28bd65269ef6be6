/**
 * One VM of a `FleetWorld`: a fleet engine, and a simple substitute for the call engine, which sends as many load
 * probes as its share allows, and calls to every backend server that is not leaving.
 */
import {type CallConfiguration, type FleetShares} from '../../common/calls/types.ts';
import {
	type FleetEffect, type FleetEngine, type FleetEvent, type FleetStage, type OperatorAnswer, type OperatorChange,
} from '../../common/fleet/types.ts';
import {type StoreOperation, type StoreReply} from '../../common/platform/types.ts';
import {type HistoryEvent} from '../oracle/types.ts';
import {type Timeline} from './timeline.ts';

/** Services that the simulated world provides to a VM. */
export type FleetEnvironment = {
	readonly timeline: Timeline;
	record(event: HistoryEvent): void;
	/** Called when a VM starts to use a configuration. */
	configured(configuration: CallConfiguration): void;
	send(from: FleetVm, effect: Extract<FleetEffect, {type: 'send'}>): void;
	store(from: FleetVm, operation: StoreOperation, reply: (reply: StoreReply) => void): void;
};

/** Load probe budget of a backend server for the whole fleet: the number of load probes per window. */
export const budgetCalls = 40;
export const budgetWindowMilliseconds = 2000;

const callIntervalMilliseconds = 1000;
const loadProbeIntervalMilliseconds = 50;
/** Pause before new calls after a resumption: a resumed VM handles its queued events first, as `WakeGuard` enforces for call engines. */
const catchUpMilliseconds = 500;
const historyLength = 20;

/** Adding the clock offset rounds times differently, so that a timer may fire slightly before its due time. */
const roundingToleranceMilliseconds = 1e-6;

export class FleetVm {
	readonly name: string;
	readonly address: string;
	readonly engine: FleetEngine;
	stage: FleetStage = 'starting';
	configuration: CallConfiguration | undefined;
	/** Received signs of leaving, each as identity and instance separated by a space. */
	readonly leavingSigns = new Set<string>();
	private readonly _environment: FleetEnvironment;
	private readonly _answers = new Map<number, (answer: OperatorAnswer) => void>();
	private readonly _loadProbesSentAt: number[] = [];
	private _shares: FleetShares | undefined;
	private _clockOffset: number;
	private _backlog: Array<() => void> | undefined;
	private _pausedAt = 0;
	private _lastRequestId = 0;
	private _callCount = 0;
	private _placesCallsFrom = 0;

	constructor(name: string, engine: FleetEngine, clockOffset: number, environment: FleetEnvironment) {
		this.name = name;
		this.address = `${name}:1`;
		this.engine = engine;
		this._clockOffset = clockOffset;
		this._environment = environment;
	}

	get now(): number {
		return this._environment.timeline.now + this._clockOffset;
	}

	get isPaused(): boolean {
		return this._backlog !== undefined;
	}

	get isEnded(): boolean {
		return this.stage === 'ended';
	}

	/** True from the end of the start until the end of the VM. */
	get isServing(): boolean {
		return !this.isEnded && this.stage !== 'starting';
	}

	start(): void {
		this.feed({type: 'started'});
		this._sendCalls();
		this._sendLoadProbes();
	}

	feed(event: FleetEvent): void {
		this._runOrDefer(() => {
			for (const effect of this.engine.handle(event, this.now)) {
				this._execute(effect);
			}

			this._scheduleTick();
		});
	}

	submitChange(change: OperatorChange, onAnswer: (answer: OperatorAnswer) => void): void {
		this._runOrDefer(() => {
			this._answers.set(++this._lastRequestId, onAnswer);
			this.feed({type: 'operator-change', requestId: this._lastRequestId, change});
		});
	}

	pause(): void {
		this._backlog = [];
		this._pausedAt = this._environment.timeline.now;
	}

	/** Resumes the VM. With `isClockStopped` its clock has stood still, as after a suspension by the hypervisor; the engine receives this as the first event. */
	resume(isClockStopped: boolean): void {
		const backlog = this._backlog ?? [];
		this._backlog = undefined;
		this._placesCallsFrom = this._environment.timeline.now + catchUpMilliseconds;
		if (isClockStopped) {
			const milliseconds = this._environment.timeline.now - this._pausedAt;
			this._clockOffset -= milliseconds;
			this.feed({type: 'woke', milliseconds});
		}

		this._tick();
		for (const task of backlog) {
			this._runOrDefer(task);
		}
	}

	kill(): void {
		this._setStage('ended');
		this._backlog = undefined;
	}

	private _runOrDefer(task: () => void): void {
		if (this._backlog !== undefined) {
			this._backlog.push(task);
		} else if (!this.isEnded) {
			task();
		}
	}

	private _tick(): void {
		const due = this.engine.nextWakeUp();
		if (due !== undefined && due <= this.now + roundingToleranceMilliseconds && !this.isPaused) {
			this.feed({type: 'tick'});
		}
	}

	private _scheduleTick(): void {
		const due = this.engine.nextWakeUp();
		if (due !== undefined) {
			this._environment.timeline.after(Math.max(roundingToleranceMilliseconds, due - this.now), () => {
				this._tick();
			});
		}
	}

	private _execute(effect: FleetEffect): void {
		switch (effect.type) {
			case 'store': {
				this._environment.store(this, effect.operation, reply => {
					this.feed({type: 'store-replied', requestId: effect.requestId, reply});
				});
				break;
			}

			case 'send': {
				this._environment.send(this, effect);
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
				this.leavingSigns.add(`${effect.sign.identity} ${effect.sign.instance}`);
				break;
			}

			case 'operator-answer': {
				this._answers.get(effect.requestId)?.(effect.answer);
				break;
			}

			case 'stage': {
				this._setStage(effect.stage);
				break;
			}

			default:
		}
	}

	private _setStage(stage: FleetStage): void {
		if (stage === 'serving') {
			this._environment.record({type: 'vm-serves', at: this._environment.timeline.now, vm: this.name});
		} else if (stage === 'ended') {
			this._environment.record({type: 'vm-ended', at: this._environment.timeline.now, vm: this.name});
		}

		this.stage = stage;
	}

	private _configure(configuration: CallConfiguration): void {
		const {timeline} = this._environment;
		this.configuration = configuration;
		this._environment.configured(configuration);
		const content = JSON.stringify([[...configuration.services], [...configuration.backendServers].toSorted(([one], [other]) => one < other ? -1 : 1)]);
		this._environment.record({
			type: 'vm-acts-on', at: timeline.now, vm: this.name, version: configuration.version, content,
		});
		for (const {version, operationId} of this.engine.history(historyLength)) {
			this._environment.record({
				type: 'version-seen', at: timeline.now, vm: this.name, version, change: operationId,
			});
		}
	}

	/** Records one call to each backend server that is not leaving by the configuration or a received sign. */
	private _sendCalls(): void {
		this._environment.timeline.after(callIntervalMilliseconds, () => {
			this._sendCalls();
		});
		if (this.isPaused || !this.isServing || this._environment.timeline.now < this._placesCallsFrom) {
			return;
		}

		for (const [identity, {isLeaving}] of this.configuration?.backendServers ?? []) {
			if (!isLeaving && !this.leavingSigns.has(`${identity} ${identity}-1`)) {
				const call = `${this.name}-${++this._callCount}`;
				const at = this._environment.timeline.now;
				this._environment.record({
					type: 'call-sent', at, call, vm: this.name, isIdempotent: true, dueAt: at + 1,
				});
				this._environment.record({
					type: 'run-began', at, run: call, call, backendServer: identity,
				});
				this._environment.record({type: 'answer-broken', at, call});
			}
		}
	}

	/** Sends load probes to one backend server as often as the share allows, in bursts. */
	private _sendLoadProbes(): void {
		this._environment.timeline.after(loadProbeIntervalMilliseconds, () => {
			this._sendLoadProbes();
		});
		const {now} = this;
		const shares = this._shares;
		if (shares === undefined || this.isPaused || this.isEnded || now < shares.loadProbesFrom || now >= shares.loadProbesUntil) {
			return;
		}

		while (this._loadProbesSentAt[0] !== undefined && this._loadProbesSentAt[0] <= now - budgetWindowMilliseconds) {
			this._loadProbesSentAt.shift();
		}

		const allowed = Math.floor((shares.loadProbeFraction * budgetCalls) + 1e-9);
		while (this._loadProbesSentAt.length < allowed) {
			this._loadProbesSentAt.push(now);
			this._environment.record({type: 'measured', at: this._environment.timeline.now, backendServer: 'measured'});
		}
	}
}
