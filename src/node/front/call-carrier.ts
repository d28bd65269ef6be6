/** Carries out what the call engine decides, on sockets. */
import {
	type CallEffect, type CallEvent, type CallId, type CallSummary,
} from '../../common/calls/types.ts';
import {type OuterCallEffect} from '../../common/entry-vm/types.ts';
import {Disposable} from '../../common/lifecycle/disposable.ts';
import {Emitter} from '../../common/lifecycle/emitter.ts';
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

/** A backend server names another rate limit than before, or none. */
export type RateLimitChanged = CallEffect & {type: 'rate-limit-changed'};

/** Calls of this VM and what is done for them. */
export class CallCarrier extends Disposable {
	private readonly _sink: CallEventSink;
	private readonly _measurer: Measurer;
	private readonly _keyClaimer: KeyClaimer;
	private readonly _calls = new Map<CallId, LiveCall>();
	private readonly _callOfAttempt = new Map<number, CallId>();
	private readonly _onCallEnded = this._register(new Emitter<EndedCall>());

	private readonly _onRateLimitChanged = this._register(new Emitter<RateLimitChanged>());

	/** One call has ended. */
	readonly onCallEnded = this._onCallEnded.event;
	/** A backend server names another rate limit than before, or none. */
	readonly onRateLimitChanged = this._onRateLimitChanged.event;

	constructor(sink: CallEventSink, measurer: Measurer, keyClaimer: KeyClaimer) {
		super();
		this._sink = sink;
		this._measurer = measurer;
		this._keyClaimer = keyClaimer;
	}

	/** Takes a call in and lets the engine decide on it. */
	admit(call: LiveCall, event: CallEvent & {type: 'call-arrived'}): void {
		this._calls.set(call.callId, call);
		this._sink.feed(event);
	}

	/** Carries out one effect of the call engine. */
	carryOut(effect: OuterCallEffect): void {
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
	private _carryOutBeside(effect: OuterCallEffect & {type: 'measure' | 'claim-key' | 'release-key' | 'rate-limit-changed'}): void {
		switch (effect.type) {
			case 'measure': {
				this._measurer.measure(effect, this._sink);
				break;
			}

			case 'claim-key': {
				this._keyClaimer.claim(effect, this._sink);
				break;
			}

			case 'rate-limit-changed': {
				this._onRateLimitChanged.fire(effect);
				break;
			}

			case 'release-key': {
				void this._keyClaimer.release(effect);
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
}
