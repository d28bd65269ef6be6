/** Feeds the call engine one event at a time and carries out its effects. */
import {Emitter} from '../../common/lifecycle/emitter.ts';
import {
	type CallEffect, type CallEngine, type CallEvent, type CallId, type CallSummary, type LoadNews,
} from '../../common/calls/types.ts';
import {Disposable, MutableDisposable, type DisposableLike} from '../../common/lifecycle/disposable.ts';
import {type Instant} from '../../common/model/units.ts';
import {type Clock} from '../clock.ts';
import {type LiveCall} from './live-call.ts';
import {type CallEventSink} from './types.ts';

/** Carries out a measuring call; the answer comes back as a `measured` event. */
export type Measurer = {
	measure(effect: CallEffect & {type: 'measure'}, sink: CallEventSink): void;
};

/** Claims idempotency keys; the answer comes back as a `key-claimed` event. */
export type KeyClaimer = {
	claim(effect: CallEffect & {type: 'claim-key'}, sink: CallEventSink): void;
	release(effect: CallEffect & {type: 'release-key'}): Promise<void>;
};

/** A call that has ended, with the identifier of its log lines. */
export type EndedCall = {readonly summary: CallSummary; readonly traceId: string | undefined};

/** The loop round one call engine. */
export class CallLoop extends Disposable implements CallEventSink {
	private readonly _engine: CallEngine;
	private readonly _clock: Clock;
	private readonly _measurer: Measurer;
	private readonly _keyClaimer: KeyClaimer;
	private readonly _calls = new Map<CallId, LiveCall>();
	private readonly _callOfAttempt = new Map<number, CallId>();
	private readonly _pending: CallEvent[] = [];
	private readonly _timer = this._register(new MutableDisposable<DisposableLike>());
	private readonly _onCallEnded = this._register(new Emitter<EndedCall>());
	private readonly _onNews = this._register(new Emitter<LoadNews>());
	private _isRunning = false;
	private _wakeUpAt: Instant | undefined;

	/** One call has ended. */
	readonly onCallEnded = this._onCallEnded.event;
	/** The engine has learnt something that peers should know. */
	readonly onNews = this._onNews.event;

	constructor(engine: CallEngine, clock: Clock, measurer: Measurer, keyClaimer: KeyClaimer) {
		super();
		this._engine = engine;
		this._clock = clock;
		this._measurer = measurer;
		this._keyClaimer = keyClaimer;
	}

	/** Calls that have not ended. */
	get size(): number {
		return this._calls.size;
	}

	/** Takes a call in and lets the engine decide on it. */
	admit(call: LiveCall, event: CallEvent & {type: 'call-arrived'}): void {
		this._calls.set(call.callId, call);
		this.feed(event);
	}

	/**
	 * Effects can cause events at once (a refused connection, a caller that is gone); those wait here,
	 * so that the engine never sees an event in the middle of another.
	 */
	feed(event: CallEvent): void {
		this._pending.push(event);
		if (this._isRunning) {
			return;
		}

		this._isRunning = true;
		try {
			for (let next = this._pending.shift(); next !== undefined; next = this._pending.shift()) {
				for (const effect of this._engine.handle(next, this._clock.now())) {
					this._carryOut(effect);
				}
			}
		} finally {
			this._isRunning = false;
		}

		this._schedule();
	}

	private _carryOut(effect: CallEffect): void {
		switch (effect.type) {
			case 'start-attempt': {
				this._callOfAttempt.set(effect.attemptId, effect.callId);
				this._calls.get(effect.callId)?.startAttempt(effect);
				break;
			}

			case 'cancel-attempt': {
				this._callOf(effect.attemptId)?.cancelAttempt(effect.attemptId);
				this._callOfAttempt.delete(effect.attemptId);
				break;
			}

			case 'pass-on': {
				this._calls.get(effect.callId)?.passOn(effect.attemptId, effect.outcome);
				break;
			}

			case 'break-off': {
				this._calls.get(effect.callId)?.breakOff();
				break;
			}

			case 'refuse': {
				this._calls.get(effect.callId)?.refuse(effect);
				break;
			}

			case 'call-ended': {
				this._onCallEnded.fire({summary: effect.summary, traceId: this._calls.get(effect.callId)?.traceId});
				this._end(effect.callId);
				break;
			}

			default: {
				this._carryOutBeside(effect);
			}
		}
	}

	/** Effects that go to the world beside calls. */
	private _carryOutBeside(effect: CallEffect & {type: 'measure' | 'claim-key' | 'release-key' | 'tell-peers'}): void {
		switch (effect.type) {
			case 'measure': {
				this._measurer.measure(effect, this);
				break;
			}

			case 'claim-key': {
				this._keyClaimer.claim(effect, this);
				break;
			}

			case 'release-key': {
				void this._keyClaimer.release(effect);
				break;
			}

			case 'tell-peers': {
				this._onNews.fire(effect.news);
				break;
			}
		}
	}

	private _callOf(attemptId: number): LiveCall | undefined {
		const callId = this._callOfAttempt.get(attemptId);
		return callId === undefined ? undefined : this._calls.get(callId);
	}

	private _end(callId: CallId): void {
		const call = this._calls.get(callId);
		this._calls.delete(callId);
		for (const attemptId of call?.startedAttempts ?? []) {
			this._callOfAttempt.delete(attemptId);
		}
	}

	/**
	 * A timer that is early enough stays: most events move the next wake-up to later, and resetting a
	 * timer with each of them costs more than one wake-up for nothing.
	 */
	private _schedule(): void {
		const wakeUpAt = this._engine.nextWakeUp();
		if (wakeUpAt === undefined || (this._wakeUpAt !== undefined && this._wakeUpAt <= wakeUpAt)) {
			return;
		}

		this._wakeUpAt = wakeUpAt;
		this._timer.value = this._clock.after(wakeUpAt - this._clock.now(), () => {
			this._wakeUpAt = undefined;
			this.feed({type: 'tick'});
		});
	}
}
