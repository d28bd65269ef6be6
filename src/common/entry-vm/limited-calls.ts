/** Lets the calls of organisations with a rate limit reach the call engine only with a token. */
import {
	type CallConfiguration, type CallEffect, type CallId, type CallRequest, type RefusalReason,
} from '../calls/types.ts';
import {type Limits} from '../limits/limits.ts';
import {
	type DatagramEvent, type LimitEffect, type LimitEvent, type LimitRecord, type LimitSlotsEffect, type ServerTokensEffect,
} from '../limits/types.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type EntryVmEffect} from './types.ts';

/** Retry delay of calls that no other VM would answer differently at once. */
const retryAfterMilliseconds: Milliseconds = 1000;

type WaitingCall = {readonly request: CallRequest; readonly arrivedAt: Instant};

/** A call that runs with a token. */
type RunningCall = {
	readonly record: LimitRecord;
	/** Latency objective, counted from the arrival at this VM; undefined if the service is unknown. */
	readonly objectiveMilliseconds: Milliseconds | undefined;
};

type CallEnded = Extract<CallEffect, {type: 'call-ended'}>;

/** Receives the results. */
export type LimitedCallsOutput = {
	/** The call has its token: pass it to the call engine. */
	onAllowed(request: CallRequest): void;
	onServerTokens(effect: ServerTokensEffect): void;
	onEffect(effect: EntryVmEffect): void;
};

export class LimitedCalls {
	private readonly _limits: Limits;
	private readonly _output: LimitedCallsOutput;
	private readonly _waiting = new Map<CallId, WaitingCall>();
	private readonly _running = new Map<CallId, RunningCall>();
	private _configuration: CallConfiguration | undefined;

	constructor(limits: Limits, output: LimitedCallsOutput) {
		this._limits = limits;
		this._output = output;
	}

	nextWakeUp(): Instant | undefined {
		return this._limits.nextWakeUp();
	}

	handle(event: LimitSlotsEffect | DatagramEvent | Extract<LimitEvent, {type: 'woke' | 'tick' | 'server-tokens-wanted'}>, now: Instant): void {
		this._apply(event, now);
	}

	configure(configuration: CallConfiguration, now: Instant): void {
		this._configuration = configuration;
		this._apply({type: 'configured', version: configuration.version, organisations: configuration.organisations}, now);
	}

	/** Takes over a call that must not run without a token; false = the call needs none. */
	take(request: CallRequest, now: Instant): boolean {
		const organisations = this._configuration?.organisations;
		if (request.organisation === undefined || organisations === undefined) {
			return false;
		}

		const organisation = organisations.get(request.organisation);
		if (organisation === undefined) {
			// A newer version than the one by which the caller was identified has removed the organisation. Its limit is unknown.
			this._refuse({request, arrivedAt: now}, 'limits-unavailable', retryAfterMilliseconds, undefined, now);
			return true;
		}

		if (organisation.limit === undefined) {
			return false;
		}

		this._waiting.set(request.callId, {request, arrivedAt: now});
		this._apply({
			type: 'token-wanted', callId: request.callId, organisation: request.organisation, withinMilliseconds: this._timeoutOf(request) ?? Number.POSITIVE_INFINITY,
		}, now);
		return true;
	}

	/** Ends a waiting call whose caller disconnected; false = the call does not wait. */
	abandon(callId: CallId, now: Instant): boolean {
		const call = this._waiting.get(callId);
		if (call === undefined) {
			return false;
		}

		this._waiting.delete(callId);
		this._end(call, undefined, this._cancel(callId, now), now);
		return true;
	}

	/** Refuses the waiting calls before the process ends, so that their callers learn that they did not run. */
	refuseAll(now: Instant): void {
		for (const [callId, call] of this._waiting) {
			this._waiting.delete(callId);
			this._refuse(call, 'stopping', retryAfterMilliseconds, this._cancel(callId, now), now);
		}
	}

	/** Returns the effect with the wait for the token in its summary, and gives the token back if the call did not run. */
	onCallEnded(effect: CallEnded, now: Instant): CallEnded {
		const running = this._running.get(effect.callId);
		if (running === undefined) {
			return effect;
		}

		this._running.delete(effect.callId);
		this._apply({type: 'call-ended', callId: effect.callId, hasRun: effect.summary.outcome !== 'not-run'}, now);
		const {record, objectiveMilliseconds} = running;
		const milliseconds = effect.summary.milliseconds + record.waitedMilliseconds;
		return {
			...effect,
			summary: {
				...effect.summary, milliseconds, limit: record, isGood: effect.summary.isGood && milliseconds <= (objectiveMilliseconds ?? milliseconds),
			},
		};
	}

	private _apply(event: LimitEvent, now: Instant): void {
		for (const effect of this._limits.handle(event, now)) {
			this._execute(effect, now);
		}
	}

	private _execute(effect: LimitEffect, now: Instant): void {
		switch (effect.type) {
			case 'call-allowed': {
				this._allow(effect.callId, effect.record);
				break;
			}

			case 'call-refused': {
				const call = this._waiting.get(effect.callId);
				if (call !== undefined) {
					this._waiting.delete(effect.callId);
					this._refuse(call, effect.reason, effect.retryAfterMilliseconds, effect.record, now);
				}

				break;
			}

			case 'server-tokens': {
				this._output.onServerTokens(effect);
				break;
			}

			case 'call-cancelled': {
				break;
			}

			default: {
				this._output.onEffect(effect);
			}
		}
	}

	private _allow(callId: CallId, record: LimitRecord): void {
		const call = this._waiting.get(callId);
		if (call === undefined) {
			return;
		}

		this._waiting.delete(callId);
		const {request} = call;
		const objectiveMilliseconds = request.rule?.objectiveMilliseconds ?? this._configuration?.services.get(request.service)?.objective.latencyMilliseconds;
		this._running.set(callId, {record, objectiveMilliseconds});
		const timeout = this._timeoutOf(request);
		this._output.onAllowed(record.waitedMilliseconds === 0 || timeout === undefined
			? request
			: {...request, timeoutMilliseconds: Math.max(1, timeout - record.waitedMilliseconds)});
	}

	/** Time within which the call must end, counted from its arrival; undefined if its service is unknown. */
	private _timeoutOf({service, timeoutMilliseconds, rule}: CallRequest): Milliseconds | undefined {
		const longest = rule?.timeoutMilliseconds ?? this._configuration?.services.get(service)?.timeoutMilliseconds;
		return longest === undefined ? timeoutMilliseconds : Math.min(timeoutMilliseconds ?? longest, longest);
	}

	private _cancel(callId: CallId, now: Instant): LimitRecord | undefined {
		const cancelled = this._limits.handle({type: 'caller-gone', callId}, now).find(effect => effect.type === 'call-cancelled');
		return cancelled?.record;
	}

	private _refuse(call: WaitingCall, reason: RefusalReason, retryAfter: Milliseconds, record: LimitRecord | undefined, now: Instant): void {
		this._output.onEffect({
			type: 'refuse', callId: call.request.callId, status: reason === 'over-limit' ? 429 : 503, reason, outcome: 'not-run', retryAfterMilliseconds: retryAfter,
		});
		this._end(call, reason, record, now);
	}

	private _end({request, arrivedAt}: WaitingCall, reason: RefusalReason | undefined, record: LimitRecord | undefined, now: Instant): void {
		this._output.onEffect({
			type: 'call-ended',
			callId: request.callId,
			summary: {
				service: request.service,
				outcome: 'not-run',
				reason,
				attempts: 0,
				milliseconds: now - arrivedAt,
				queuedMilliseconds: 0,
				isGood: false,
				...(record === undefined ? {} : {limit: record}),
			},
		});
	}
}
