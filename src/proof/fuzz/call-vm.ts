/**
 * One VM of the fuzzed world: a call engine and a plain adapter that carries its effects out over the
 * fake network. A paused VM does nothing; what comes meanwhile waits, as it would in its sockets.
 */
import {
	type CallEffect, type CallEngine, type CallEvent, type CallId,
} from '../../common/calls/types.ts';
import {type HistoryEvent} from '../oracle/types.ts';
import {FakeAttempts, travelMilliseconds} from './fake-attempts.ts';
import {
	type CallSurroundings, type FuzzedCall, type OpenCall, type VmHost,
} from './types.ts';

const measureLimitMilliseconds = 1000;

/** Clocks with offsets round differently; a timer must not miss its own instant for that. */
const rounding = 1e-6;

export class CallVm implements VmHost {
	readonly name: string;
	readonly engine: CallEngine;
	readonly attempts: FakeAttempts;
	/** Its clock starts anywhere. */
	private readonly _clockOffset: number;
	private readonly _world: CallSurroundings;
	private readonly _open = new Map<CallId, OpenCall>();
	private _backlog: Array<() => void> | undefined;
	private _isEnded = false;
	private _lastCallId = 0;

	constructor(name: string, engine: CallEngine, clockOffset: number, world: CallSurroundings) {
		this.name = name;
		this.engine = engine;
		this._clockOffset = clockOffset;
		this._world = world;
		this.attempts = new FakeAttempts(this, world);
	}

	get isPaused(): boolean {
		return this._backlog !== undefined;
	}

	get isEnded(): boolean {
		return this._isEnded;
	}

	get now(): number {
		return this._world.timeline.now + this._clockOffset;
	}

	/** Runs the task now, or when the VM goes on. */
	whenRunning(task: () => void): void {
		if (this._isEnded) {
			return;
		}

		if (this._backlog === undefined) {
			task();
		} else {
			this._backlog.push(task);
		}
	}

	feed(event: CallEvent): void {
		this.whenRunning(() => {
			for (const effect of this.engine.handle(event, this.now)) {
				this._carryOut(effect);
			}

			this._scheduleTick();
		});
	}

	openCall(callId: CallId): OpenCall | undefined {
		return this._open.get(callId);
	}

	accept(call: FuzzedCall): void {
		this.whenRunning(() => {
			const callId = ++this._lastCallId;
			this._open.set(callId, {call, received: '', outcome: undefined});
			this.feed({
				type: 'call-arrived',
				request: {
					callId,
					service: call.service,
					caller: 'portal',
					method: call.method,
					fingerprint: call.fingerprint,
					timeoutMilliseconds: call.timeoutMilliseconds,
					bodyBytes: 10,
					idempotencyKey: call.key,
					mayRetry: true,
				},
			});
		});
	}

	/** The caller of the latest open call goes away. */
	loseCaller(): void {
		const latest = [...this._open].at(-1);
		if (latest === undefined || this._isEnded) {
			return;
		}

		const [callId, {call}] = latest;
		this._world.record({type: 'caller-gone', at: this._world.timeline.now, call: call.name});
		this._open.delete(callId);
		this.feed({type: 'caller-gone', callId});
	}

	pause(): void {
		this._backlog ??= [];
	}

	/** Goes on: due timers first, as an event loop does, or what waits in its sockets first. */
	resume(areTimersFirst: boolean): void {
		const backlog = this._backlog ?? [];
		this._backlog = undefined;
		if (areTimersFirst) {
			this._tick();
		}

		for (const task of backlog) {
			this.whenRunning(task);
		}
	}

	/** Dies with all its connections: callers see theirs cut. */
	kill(): void {
		this._isEnded = true;
		this._backlog = undefined;
		for (const {call} of this._open.values()) {
			this._world.record({type: 'answer-broken', at: this._world.timeline.now, call: call.name});
		}

		this.attempts.abandon();
	}

	private _tick(): void {
		const due = this.engine.nextWakeUp();
		if (due !== undefined && due <= this.now + rounding) {
			this.feed({type: 'tick'});
		}
	}

	private _scheduleTick(): void {
		const due = this.engine.nextWakeUp();
		if (due !== undefined) {
			this._world.timeline.after(Math.max(rounding, due - this.now), () => {
				this.whenRunning(() => {
					this._tick();
				});
			});
		}
	}

	private _carryOut(effect: CallEffect): void {
		switch (effect.type) {
			case 'start-attempt': {
				this.attempts.start(effect);
				break;
			}

			case 'cancel-attempt': {
				this.attempts.cancel(effect.attemptId);
				break;
			}

			case 'pass-on': {
				this.attempts.passOn(effect.callId, effect.attemptId, effect.outcome);
				break;
			}

			case 'break-off': {
				this.endCall(effect.callId, ({call}) => ({type: 'answer-broken', at: this._world.timeline.now, call: call.name}));
				break;
			}

			case 'refuse': {
				this.endCall(effect.callId, ({call}) => ({
					type: 'answer-whole', at: this._world.timeline.now, call: call.name, body: effect.reason, outcome: effect.outcome, isRefusal: true,
				}));
				break;
			}

			case 'measure': {
				this._measure(effect);
				break;
			}

			case 'claim-key': {
				this._world.claimKey(this, `${effect.service}/${effect.key}`, claim => {
					this.feed({type: 'key-claimed', callId: effect.callId, claim: {type: claim}});
				});
				break;
			}

			case 'release-key': {
				this._world.releaseKey(this, `${effect.service}/${effect.key}`);
				break;
			}

			case 'tell-peers': {
				this._world.tellPeers(this, effect.update);
				break;
			}

			case 'rate-limit-changed':
			case 'call-ended': {
				break;
			}
		}
	}

	endCall(callId: CallId, end: (open: OpenCall) => HistoryEvent): void {
		const open = this._open.get(callId);
		if (open !== undefined) {
			this._open.delete(callId);
			this._world.record(end(open));
		}
	}

	private _measure(effect: Extract<CallEffect, {type: 'measure'}>): void {
		const {timeline} = this._world;
		this._world.record({type: 'measured', at: timeline.now, backendServer: effect.identity});
		const backendServer = this._world.backendServerAt(effect.port);
		const isAnswered = backendServer.isUp && !backendServer.isFrozen
			&& this._world.canPass(this.name, backendServer.name) && this._world.canPass(backendServer.name, this.name);
		this.after(isAnswered ? 2 * travelMilliseconds : measureLimitMilliseconds, () => {
			const report = isAnswered ? backendServer.report() : undefined;
			if (report?.isLeaving === true) {
				this._world.sawLeaving(this, effect.identity, report.instance);
			}

			this.feed({type: 'measured', loadProbeId: effect.loadProbeId, report});
		});
	}

	after(milliseconds: number, task: () => void): void {
		this._world.timeline.after(milliseconds, () => {
			this.whenRunning(task);
		});
	}
}
