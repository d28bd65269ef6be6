/** Executes the effects that the call engine returns. */
import {
	type CallEffect, type CallEvent, type CallId, type CallSummary,
} from '../../common/calls/types.ts';
import {type ExternalCallEffect} from '../../common/entry-vm/types.ts';
import {Disposable} from '../../common/lifecycle/disposable.ts';
import {Emitter} from '../../common/lifecycle/emitter.ts';
import {type LiveCall} from './live-call.ts';
import {type CallEventSink} from './types.ts';

/** Sends a load probe; the result is fed to the sink as a `measured` event. */
export type LoadProbeClient = {
	probe(effect: CallEffect & {type: 'measure'}, sink: CallEventSink): void;
	/** Checks a path to a backend server; the result is fed to the sink as a `link-checked` event. */
	check(effect: CallEffect & {type: 'check-link'}, sink: CallEventSink): void;
};

/** Claims idempotency keys; the result is fed to the sink as a `key-claimed` event. */
export type KeyClaimer = {
	claim(effect: CallEffect & {type: 'claim-key'}, sink: CallEventSink): void;
	release(effect: CallEffect & {type: 'release-key'}): Promise<void>;
};

/** Summary of a completed call, and the trace identifier and organisation for its log line. */
export type EndedCall = {readonly summary: CallSummary; readonly traceId: string | undefined; readonly organisation: string | undefined};

/** An exception in a call; the trace identifier is undefined if the call is not known. */
export type CallException = {readonly traceId: string | undefined; readonly error: unknown};

/** A backend server announced a new rate limit, or removed its rate limit. */
export type RateLimitChanged = CallEffect & {type: 'rate-limit-changed'};

/** What this VM knows of calls that crash backend servers has changed. */
export type PoisonRequestChanged = CallEffect & {type: 'poison-request-changed'};

/** The path to a backend server has changed. */
export type LinkChanged = CallEffect & {type: 'link-changed'};

/** Holds the active calls of this VM and dispatches each effect to its call, the load prober or the key claimer. */
export class CallEffectExecutor extends Disposable {
	private readonly _sink: CallEventSink;
	private readonly _loadProber: LoadProbeClient;
	private readonly _keyClaimer: KeyClaimer;
	private readonly _calls = new Map<CallId, LiveCall>();
	private readonly _callIdByAttemptId = new Map<number, CallId>();
	private readonly _onCallEnded = this._register(new Emitter<EndedCall>());

	private readonly _onRateLimitChanged = this._register(new Emitter<RateLimitChanged>());

	private readonly _onPoisonRequestChanged = this._register(new Emitter<PoisonRequestChanged>());

	private readonly _onLinkChanged = this._register(new Emitter<LinkChanged>());

	private readonly _onException = this._register(new Emitter<CallException>());

	/** Fires if an exception has ended a call, or has occurred in an effect that concerns no call. */
	readonly onException = this._onException.event;
	/** Fires once for each call, when it has completed. */
	readonly onCallEnded = this._onCallEnded.event;
	/** Fires if a backend server announces a new rate limit or removes its rate limit. */
	readonly onRateLimitChanged = this._onRateLimitChanged.event;
	/** Fires if a call comes under suspicion of crashing backend servers, is quarantined or is cleared. */
	readonly onPoisonRequestChanged = this._onPoisonRequestChanged.event;

	/** Fires if connections to a backend server take another path from now on. */
	readonly onLinkChanged = this._onLinkChanged.event;

	constructor(sink: CallEventSink, loadProber: LoadProbeClient, keyClaimer: KeyClaimer) {
		super();
		this._sink = sink;
		this._loadProber = loadProber;
		this._keyClaimer = keyClaimer;
	}

	/** Registers a call and submits its arrival to the engine. */
	admit(call: LiveCall, event: CallEvent & {type: 'call-arrived'}): void {
		this._calls.set(call.callId, call);
		call.setExceptionListener(error => {
			this._onException.fire({traceId: call.traceId, error});
		});
		this._sink.feed(event);
	}

	/** Executes one effect of the call engine. An exception ends the call of the effect and leaves the other effects to be executed. */
	execute(effect: ExternalCallEffect): void {
		try {
			this._execute(effect);
		} catch (error) {
			const call = 'callId' in effect ? this._calls.get(effect.callId) : undefined;
			if (call === undefined) {
				this._onException.fire({traceId: undefined, error});
			} else {
				call.onException(error);
			}
		}
	}

	private _execute(effect: ExternalCallEffect): void {
		switch (effect.type) {
			case 'start-attempt': {
				this._callIdByAttemptId.set(effect.attemptId, effect.callId);
				this._calls.get(effect.callId)?.startAttempt(effect);
				break;
			}

			case 'cancel-attempt': {
				this._findCall(effect.attemptId)?.cancelAttempt(effect.attemptId);
				this._callIdByAttemptId.delete(effect.attemptId);
				break;
			}

			case 'pass-on': {
				this._calls.get(effect.callId)?.forwardAnswer(effect);
				break;
			}

			case 'break-off': {
				this._calls.get(effect.callId)?.abortAnswer();
				break;
			}

			case 'refuse': {
				this._calls.get(effect.callId)?.refuse(effect);
				break;
			}

			case 'call-ended': {
				const call = this._calls.get(effect.callId);
				this._onCallEnded.fire({summary: effect.summary, traceId: call?.traceId, organisation: call?.organisation});
				this._removeCall(effect.callId);
				break;
			}

			default: {
				this._executeOther(effect);
			}
		}
	}

	/** Executes effects that do not concern the connections of a call. */
	private _executeOther(effect: ExternalCallEffect & {type: 'measure' | 'claim-key' | 'release-key' | 'rate-limit-changed' | 'poison-request-changed' | 'check-link' | 'link-changed'}): void {
		switch (effect.type) {
			case 'measure': {
				this._loadProber.probe(effect, this._sink);
				break;
			}

			case 'check-link': {
				this._loadProber.check(effect, this._sink);
				break;
			}

			case 'link-changed': {
				this._onLinkChanged.fire(effect);
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

			case 'poison-request-changed': {
				this._onPoisonRequestChanged.fire(effect);
				break;
			}

			case 'release-key': {
				void this._keyClaimer.release(effect);
				break;
			}
		}
	}

	private _findCall(attemptId: number): LiveCall | undefined {
		const callId = this._callIdByAttemptId.get(attemptId);
		return callId === undefined ? undefined : this._calls.get(callId);
	}

	private _removeCall(callId: CallId): void {
		const call = this._calls.get(callId);
		this._calls.delete(callId);
		for (const attemptId of call?.startedAttempts ?? []) {
			this._callIdByAttemptId.delete(attemptId);
		}
	}
}
