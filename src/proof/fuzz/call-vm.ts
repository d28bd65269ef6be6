/**
 * One VM of a `CallWorld`: a call engine, and an adapter that executes its effects over the simulated network.
 * A paused VM processes nothing; events that arrive meanwhile are queued, as in its sockets.
 */
import {
	type CallEffect, type CallEngine, type CallEvent, type CallId,
} from '../../common/calls/types.ts';
import {type HistoryEvent} from '../oracle/types.ts';
import {FakeAttempts, networkDelayMilliseconds} from './fake-attempts.ts';
import {
	type CallEnvironment, type FuzzedCall, type OpenCall, type VmHost,
} from './types.ts';

const loadProbeTimeoutMilliseconds = 1000;

/** Adding the clock offset rounds times differently, so that a timer may fire slightly before its due time. */
const roundingToleranceMilliseconds = 1e-6;

/** Effects that the world leaves out. */
const ignoredEffects = {
	'demand-report': true,
	'server-tokens-wanted': true,
	'rate-limit-changed': true,
	'poison-request-changed': true,
	'check-link': true,
	'link-changed': true,
	'call-ended': true,
} as const satisfies Partial<Record<CallEffect['type'], true>>;

function isIgnored(effect: CallEffect): effect is Extract<CallEffect, {type: keyof typeof ignoredEffects}> {
	return Object.hasOwn(ignoredEffects, effect.type);
}

export class CallVm implements VmHost {
	readonly name: string;
	readonly engine: CallEngine;
	readonly attempts: FakeAttempts;
	/** Milliseconds from the simulated time to the clock of this VM. */
	private readonly _clockOffset: number;
	private readonly _environment: CallEnvironment;
	private readonly _openCalls = new Map<CallId, OpenCall>();
	private _backlog: Array<() => void> | undefined;
	private _isEnded = false;
	private _lastCallId = 0;

	constructor(name: string, engine: CallEngine, clockOffset: number, environment: CallEnvironment) {
		this.name = name;
		this.engine = engine;
		this._clockOffset = clockOffset;
		this._environment = environment;
		this.attempts = new FakeAttempts(this, environment);
	}

	get isPaused(): boolean {
		return this._backlog !== undefined;
	}

	get isEnded(): boolean {
		return this._isEnded;
	}

	get now(): number {
		return this._environment.timeline.now + this._clockOffset;
	}

	runOrDefer(task: () => void): void {
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
		this.runOrDefer(() => {
			for (const effect of this.engine.handle(event, this.now)) {
				this._execute(effect);
			}

			this._scheduleTick();
		});
	}

	openCall(callId: CallId): OpenCall | undefined {
		return this._openCalls.get(callId);
	}

	accept(call: FuzzedCall): void {
		this.runOrDefer(() => {
			const callId = ++this._lastCallId;
			this._openCalls.set(callId, {call, received: '', outcome: undefined});
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

	/** Disconnects the caller of the latest open call. */
	disconnectCaller(): void {
		const latest = [...this._openCalls].at(-1);
		if (latest === undefined || this._isEnded) {
			return;
		}

		const [callId, {call}] = latest;
		this._environment.record({type: 'caller-gone', at: this._environment.timeline.now, call: call.name});
		this._openCalls.delete(callId);
		this.feed({type: 'caller-gone', callId});
	}

	pause(): void {
		this._backlog ??= [];
	}

	/** Resumes the VM. Runs either due timers first, as an event loop does, or the queued events first. */
	resume(areTimersFirst: boolean): void {
		const backlog = this._backlog ?? [];
		this._backlog = undefined;
		if (areTimersFirst) {
			this._tick();
		}

		for (const task of backlog) {
			this.runOrDefer(task);
		}
	}

	/** Ends the VM and resets its connections: the answers of all open calls break off. */
	kill(): void {
		this._isEnded = true;
		this._backlog = undefined;
		for (const {call} of this._openCalls.values()) {
			this._environment.record({type: 'answer-broken', at: this._environment.timeline.now, call: call.name});
		}

		this.attempts.closeAll();
	}

	private _tick(): void {
		const due = this.engine.nextWakeUp();
		if (due !== undefined && due <= this.now + roundingToleranceMilliseconds) {
			this.feed({type: 'tick'});
		}
	}

	private _scheduleTick(): void {
		const due = this.engine.nextWakeUp();
		if (due !== undefined) {
			this._environment.timeline.after(Math.max(roundingToleranceMilliseconds, due - this.now), () => {
				this.runOrDefer(() => {
					this._tick();
				});
			});
		}
	}

	private _execute(effect: CallEffect): void {
		if (isIgnored(effect)) {
			return;
		}

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
				this.attempts.forward(effect.callId, effect.attemptId, effect.outcome);
				break;
			}

			case 'break-off': {
				this.endCall(effect.callId, ({call}) => ({type: 'answer-broken', at: this._environment.timeline.now, call: call.name}));
				break;
			}

			case 'refuse': {
				this.endCall(effect.callId, ({call}) => ({
					type: 'answer-whole', at: this._environment.timeline.now, call: call.name, body: effect.reason, outcome: effect.outcome, isRefusal: true,
				}));
				break;
			}

			case 'measure': {
				this._probeLoad(effect);
				break;
			}

			case 'claim-key': {
				this._environment.claimKey(this, `${effect.service}/${effect.key}`, claim => {
					this.feed({type: 'key-claimed', callId: effect.callId, claim: {type: claim}});
				});
				break;
			}

			case 'release-key': {
				this._environment.releaseKey(this, `${effect.service}/${effect.key}`);
				break;
			}

			case 'tell-peers': {
				this._environment.sendToPeers(this, effect.update);
				break;
			}
		}
	}

	endCall(callId: CallId, end: (open: OpenCall) => HistoryEvent): void {
		const open = this._openCalls.get(callId);
		if (open !== undefined) {
			this._openCalls.delete(callId);
			this._environment.record(end(open));
		}
	}

	private _probeLoad(effect: Extract<CallEffect, {type: 'measure'}>): void {
		const {timeline} = this._environment;
		this._environment.record({type: 'measured', at: timeline.now, backendServer: effect.identity});
		const backendServer = this._environment.backendServerAt(effect.port);
		const isAnswered = backendServer.isUp && !backendServer.isFrozen
			&& this._environment.canPass(this.name, backendServer.name) && this._environment.canPass(backendServer.name, this.name);
		this.after(isAnswered ? 2 * networkDelayMilliseconds : loadProbeTimeoutMilliseconds, () => {
			const report = isAnswered ? backendServer.report() : undefined;
			if (report?.isLeaving === true) {
				this._environment.reportLeavingSign(this, effect.identity, report.instance);
			}

			this.feed({type: 'measured', loadProbeId: effect.loadProbeId, report});
		});
	}

	after(milliseconds: number, task: () => void): void {
		this._environment.timeline.after(milliseconds, () => {
			this.runOrDefer(task);
		});
	}
}
