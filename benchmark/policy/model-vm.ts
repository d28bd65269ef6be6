/** Model of a VM: executes the effects of a call engine against the model backend servers. */
import {
	type CallEffect, type CallEngine, type CallEvent, type LoadUpdate,
} from '../../src/common/calls/types.ts';
import {type Instant, type Milliseconds} from '../../src/common/model/units.ts';
import {
	type ModelServer, type VirtualTime, type WorkItem, type WorkOutcome,
} from './model-server.ts';
import {ConnectionModel} from './connection-model.ts';
import {type CallRecord} from './types.ts';

/** Interface of a VM to the rest of the model. */
export type VmEnvironment = {
	readonly time: VirtualTime;
	readonly serverOf: (identity: string) => ModelServer;
	readonly latencyTo: (identity: string) => Milliseconds;
	readonly hasReportsOnAnswers: boolean;
	readonly onLoadProbe: (identity: string, at: Instant) => void;
	readonly onLoadUpdate: (update: LoadUpdate) => void;
	readonly onDemandReport?: (report: DemandReport) => void;
	/** Receives slot time of work whose answer reached no caller. */
	readonly onWastedWork: (spent: Milliseconds) => void;
};

/** The effect that reports the demand of an overloaded service to the fleet. */
export type DemandReport = Extract<CallEffect, {type: 'demand-report'}>;

type RunningAttempt = {readonly callId: number; readonly identity: string; readonly server: ModelServer; readonly latency: Milliseconds; readonly work: WorkItem};

/** Effects that the model leaves out. */
const ignoredEffects = {
	'server-tokens-wanted': true,
	'break-off': true,
	'rate-limit-changed': true,
	'poison-request-changed': true,
	'check-link': true,
	'link-changed': true,
	'claim-key': true,
	'release-key': true,
} as const satisfies Partial<Record<CallEffect['type'], true>>;

function isIgnored(effect: CallEffect): effect is Extract<CallEffect, {type: keyof typeof ignoredEffects}> {
	return Object.hasOwn(ignoredEffects, effect.type);
}

export class ModelVm {
	readonly connections = new ConnectionModel();
	private readonly _engine: CallEngine;
	private readonly _environment: VmEnvironment;
	private readonly _records = new Map<number, CallRecord>();
	private readonly _listeners = new Map<number, (record: CallRecord) => void>();
	private readonly _attempts = new Map<number, RunningAttempt>();
	private readonly _answers = new Map<number, {attemptId: number; isGood: boolean}>();
	private _wakeUpAt: Instant | undefined;
	private _isDead = false;

	constructor(engine: CallEngine, environment: VmEnvironment) {
		this._engine = engine;
		this._environment = environment;
	}

	/** Passes a new call to the engine; `onEnded` is called when the call has ended. */
	startCall(callId: number, record: CallRecord, onEnded?: (record: CallRecord) => void): void {
		this._records.set(callId, record);
		if (onEnded !== undefined) {
			this._listeners.set(callId, onEnded);
		}

		const {planned} = record;
		this.handle({
			type: 'call-arrived',
			request: {
				callId,
				service: planned.service,
				caller: planned.caller,
				method: planned.method,
				path: planned.path,
				fingerprint: `${callId}`,
				timeoutMilliseconds: planned.timeout,
				bodyBytes: 0,
				idempotencyKey: undefined,
				mayRetry: true,
				...(planned.rule === undefined ? {} : {rule: planned.rule}),
				...(planned.priority === undefined ? {} : {priority: planned.priority}),
			},
		});
	}

	/** Ends the VM without notice: its calls fail, and its connections to backend servers close. */
	kill(): void {
		this._isDead = true;
		for (const {server, work} of this._attempts.values()) {
			server.cancel(work);
		}

		this._attempts.clear();
		for (const callId of this._records.keys()) {
			this._end(callId, this._environment.time.now);
		}
	}

	get isDead(): boolean {
		return this._isDead;
	}

	handle(event: CallEvent): void {
		if (this._isDead) {
			return;
		}

		const {now} = this._environment.time;
		for (const effect of this._engine.handle(event, now)) {
			this._execute(effect, now);
		}

		const wakeUpAt = this._engine.nextWakeUp();
		if (wakeUpAt !== undefined && (this._wakeUpAt === undefined || wakeUpAt < this._wakeUpAt)) {
			this._wakeUpAt = wakeUpAt;
			this._environment.time.at(wakeUpAt, () => {
				if (this._wakeUpAt === wakeUpAt) {
					this._wakeUpAt = undefined;
					this.handle({type: 'tick'});
				}
			});
		}
	}

	private _execute(effect: CallEffect, now: Instant): void {
		if (isIgnored(effect)) {
			return;
		}

		switch (effect.type) {
			case 'start-attempt': {
				this._start(effect, now);
				break;
			}

			case 'cancel-attempt': {
				this._cancel(effect.attemptId);
				break;
			}

			case 'pass-on': {
				this._answers.set(effect.callId, {attemptId: effect.attemptId, isGood: effect.outcome === 'ran'});
				break;
			}

			case 'refuse': {
				const record = this._records.get(effect.callId)!;
				record.isRefused = true;
				record.retryAfterMilliseconds = effect.outcome === 'not-run' ? effect.retryAfterMilliseconds : undefined;
				break;
			}

			case 'call-ended': {
				this._end(effect.callId, now);
				break;
			}

			case 'measure': {
				this._sendLoadProbe(effect, now);
				break;
			}

			case 'demand-report': {
				this._environment.onDemandReport?.(effect);
				break;
			}

			case 'tell-peers': {
				this._environment.onLoadUpdate(effect.update);
				break;
			}
		}
	}

	private _end(callId: number, now: Instant): void {
		const record = this._records.get(callId)!;
		record.endedAt = now;
		record.isGood = !record.isRefused && this._answers.get(callId)?.isGood === true && now <= record.planned.at + record.planned.timeout;
		this._records.delete(callId);
		this._answers.delete(callId);
		this._listeners.get(callId)?.(record);
		this._listeners.delete(callId);
	}

	private _start(effect: CallEffect & {type: 'start-attempt'}, now: Instant): void {
		const {time} = this._environment;
		const server = this._environment.serverOf(effect.identity);
		const latency = this._environment.latencyTo(effect.identity);
		const record = this._records.get(effect.callId)!;
		const work: WorkItem = {
			work: record.planned.work,
			deadline: now + effect.timeoutMilliseconds,
			remaining: record.planned.work,
			spent: 0,
			isOver: false,
			onStart() {
				record.starts++;
			},
			onEnd: end => {
				const report = this._environment.hasReportsOnAnswers ? server.report() : undefined;
				time.at(time.now + latency, () => {
					this._attemptEnded(effect.attemptId, end, report);
				});
			},
		};
		this._attempts.set(effect.attemptId, {
			callId: effect.callId, identity: effect.identity, server, latency, work,
		});
		this.connections.acquire(effect.identity, now);
		this._handleLater({type: 'attempt-sent', attemptId: effect.attemptId}, now);
		time.at(now + latency, () => {
			if (!work.isOver) {
				server.accept(work);
			}
		});
	}

	/** Delivers an event after the present one at the same instant, as the data path does for events that an effect causes at once. */
	private _handleLater(event: CallEvent, now: Instant): void {
		this._environment.time.at(now, () => {
			this.handle(event);
		});
	}

	private _cancel(attemptId: number): void {
		const running = this._attempts.get(attemptId);
		this._attempts.delete(attemptId);
		if (running === undefined) {
			return;
		}

		const {work, server, latency} = running;
		this._environment.time.at(this._environment.time.now + latency, () => {
			server.cancel(work);
			work.isOver = true;
			this._environment.onWastedWork(work.spent);
		});
	}

	private _attemptEnded(attemptId: number, end: WorkOutcome, report: ReturnType<ModelServer['report']> | undefined): void {
		const running = this._attempts.get(attemptId);
		if (running === undefined) {
			return;
		}

		this._attempts.delete(attemptId);
		if (end !== 'refused' && end !== 'reset') {
			this.connections.release(running.identity, this._environment.time.now);
		}

		if (end === 'refused' || end === 'reset') {
			this._environment.onWastedWork(running.work.spent);
			this.handle({
				type: 'attempt-failed',
				attemptId,
				failure: end === 'refused' ? 'connection-refused' : 'reset-after-sending',
				isReplayable: true,
				bytesPassedOn: 0,
			});
			return;
		}

		this.handle({
			type: 'attempt-head',
			attemptId,
			status: end === 'done' ? 200 : (end === 'shed' ? 503 : 500),
			report,
			isDeclaredNotRun: end === 'shed',
			validator: undefined,
			isReplayable: true,
		});
		if (this._answers.get(running.callId)?.attemptId === attemptId) {
			this.handle({type: 'attempt-done', attemptId});
		}
	}

	private _sendLoadProbe(effect: CallEffect & {type: 'measure'}, now: Instant): void {
		const {time} = this._environment;
		const latency = this._environment.latencyTo(effect.identity);
		this.connections.acquire(effect.identity, now);
		time.at(now + latency, () => {
			this._environment.onLoadProbe(effect.identity, time.now);
			const report = this._environment.serverOf(effect.identity).report();
			time.at(time.now + latency, () => {
				this.connections.release(effect.identity, time.now);
				this.handle({type: 'measured', loadProbeId: effect.loadProbeId, report});
			});
		});
	}
}
