/** A VM of the model: carries an engine's effects out against the model's backend servers. */
import {
	type CallEffect, type CallEngine, type CallEvent, type LoadUpdate,
} from '../../src/common/calls/types.ts';
import {type Instant, type Milliseconds} from '../../src/common/model/units.ts';
import {
	type ModelServer, type VirtualTime, type Work, type WorkEnd,
} from './model-server.ts';
import {type CallRecord} from './types.ts';

/** What a VM sees of the rest of the model. */
export type VmSurroundings = {
	readonly time: VirtualTime;
	readonly serverOf: (identity: string) => ModelServer;
	readonly latencyTo: (identity: string) => Milliseconds;
	readonly hasReportsOnAnswers: boolean;
	readonly onMeasure: (identity: string, at: Instant) => void;
	readonly onUpdate: (update: LoadUpdate) => void;
	/** Slot time whose answer nobody got. */
	readonly onWaste: (spent: Milliseconds) => void;
};

type Running = {readonly callId: number; readonly server: ModelServer; readonly latency: Milliseconds; readonly work: Work};

/** One VM. */
export class ModelVm {
	private readonly _engine: CallEngine;
	private readonly _around: VmSurroundings;
	private readonly _records = new Map<number, CallRecord>();
	private readonly _listeners = new Map<number, (record: CallRecord) => void>();
	private readonly _attempts = new Map<number, Running>();
	private readonly _passedOn = new Map<number, {attemptId: number; isGood: boolean}>();
	private _wakeUpAt: Instant | undefined;

	constructor(engine: CallEngine, around: VmSurroundings) {
		this._engine = engine;
		this._around = around;
	}

	/** `onEnded` is told once the call has come to its end. */
	arrive(callId: number, record: CallRecord, onEnded?: (record: CallRecord) => void): void {
		this._records.set(callId, record);
		if (onEnded !== undefined) {
			this._listeners.set(callId, onEnded);
		}

		const {planned} = record;
		this.feed({
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
			},
		});
	}

	feed(event: CallEvent): void {
		const {now} = this._around.time;
		for (const effect of this._engine.handle(event, now)) {
			this._carryOut(effect, now);
		}

		const wakeUpAt = this._engine.nextWakeUp();
		if (wakeUpAt !== undefined && (this._wakeUpAt === undefined || wakeUpAt < this._wakeUpAt)) {
			this._wakeUpAt = wakeUpAt;
			this._around.time.at(wakeUpAt, () => {
				if (this._wakeUpAt === wakeUpAt) {
					this._wakeUpAt = undefined;
					this.feed({type: 'tick'});
				}
			});
		}
	}

	private _carryOut(effect: CallEffect, now: Instant): void {
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
				this._passedOn.set(effect.callId, {attemptId: effect.attemptId, isGood: effect.outcome === 'ran'});
				break;
			}

			case 'refuse': {
				const record = this._records.get(effect.callId)!;
				record.isRefused = true;
				record.retryAfter = effect.outcome === 'not-run' ? effect.retryAfterMilliseconds : undefined;
				break;
			}

			case 'call-ended': {
				this._end(effect.callId, now);
				break;
			}

			case 'measure': {
				this._measure(effect, now);
				break;
			}

			case 'tell-peers': {
				this._around.onUpdate(effect.update);
				break;
			}

			case 'break-off':
			case 'rate-limit-changed':
			case 'claim-key':
			case 'release-key': {
				break;
			}
		}
	}

	private _end(callId: number, now: Instant): void {
		const record = this._records.get(callId)!;
		record.endedAt = now;
		record.isGood = !record.isRefused && this._passedOn.get(callId)?.isGood === true && now <= record.planned.at + record.planned.timeout;
		this._records.delete(callId);
		this._passedOn.delete(callId);
		this._listeners.get(callId)?.(record);
		this._listeners.delete(callId);
	}

	private _start(effect: CallEffect & {type: 'start-attempt'}, now: Instant): void {
		const {time} = this._around;
		const server = this._around.serverOf(effect.identity);
		const latency = this._around.latencyTo(effect.identity);
		const record = this._records.get(effect.callId)!;
		const work: Work = {
			work: record.planned.work,
			deadline: now + effect.timeoutMilliseconds,
			remaining: record.planned.work,
			spent: 0,
			isOver: false,
			onStart() {
				record.starts++;
			},
			onEnd: end => {
				const report = this._around.hasReportsOnAnswers ? server.report() : undefined;
				time.at(time.now + latency, () => {
					this._attemptEnded(effect.attemptId, end, report);
				});
			},
		};
		this._attempts.set(effect.attemptId, {
			callId: effect.callId, server, latency, work,
		});
		this.feedLater({type: 'attempt-sent', attemptId: effect.attemptId}, now);
		time.at(now + latency, () => {
			if (!work.isOver) {
				server.accept(work);
			}
		});
	}

	/** Events that an effect causes at once come after the present event, as in the data path. */
	private feedLater(event: CallEvent, now: Instant): void {
		this._around.time.at(now, () => {
			this.feed(event);
		});
	}

	private _cancel(attemptId: number): void {
		const running = this._attempts.get(attemptId);
		this._attempts.delete(attemptId);
		if (running === undefined) {
			return;
		}

		const {work, server, latency} = running;
		this._around.time.at(this._around.time.now + latency, () => {
			server.cancel(work);
			work.isOver = true;
			this._around.onWaste(work.spent);
		});
	}

	private _attemptEnded(attemptId: number, end: WorkEnd, report: ReturnType<ModelServer['report']> | undefined): void {
		const running = this._attempts.get(attemptId);
		if (running === undefined) {
			return;
		}

		this._attempts.delete(attemptId);
		if (end === 'refused' || end === 'reset') {
			this._around.onWaste(running.work.spent);
			this.feed({
				type: 'attempt-failed',
				attemptId,
				failure: end === 'refused' ? 'connection-refused' : 'reset-after-sending',
				isReplayable: true,
				bytesPassedOn: 0,
			});
			return;
		}

		this.feed({
			type: 'attempt-head',
			attemptId,
			status: end === 'done' ? 200 : (end === 'shed' ? 503 : 500),
			report,
			isDeclaredNotRun: end === 'shed',
			validator: undefined,
			isReplayable: true,
		});
		if (this._passedOn.get(running.callId)?.attemptId === attemptId) {
			this.feed({type: 'attempt-done', attemptId});
		}
	}

	private _measure(effect: CallEffect & {type: 'measure'}, now: Instant): void {
		const {time} = this._around;
		const latency = this._around.latencyTo(effect.identity);
		time.at(now + latency, () => {
			this._around.onMeasure(effect.identity, time.now);
			const report = this._around.serverOf(effect.identity).report();
			time.at(time.now + latency, () => {
				this.feed({type: 'measured', loadProbeId: effect.loadProbeId, report});
			});
		});
	}
}
