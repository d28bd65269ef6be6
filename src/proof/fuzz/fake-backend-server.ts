/** Simulated backend server that runs calls and records each run. It does not depend on the load balancer. */
import {type HistoryEvent} from '../oracle/types.ts';
import {type Timeline} from './timeline.ts';

/** Behaviour of the backend server for new calls. */
export type Treatment = 'normal' | 'slow' | 'fails-fast' | 'sheds' | 'bare-503' | 'misleads';

/** A call received over a connection, with callbacks for its answer. */
export type IncomingCall = {
	readonly call: string;
	readonly dispatchedAt: number;
	/** Identity of the declaration that the load balancer used. */
	readonly identity: string;
	readonly isIdempotent: boolean;
	readonly crashesBackendServer: boolean;
	readonly workMilliseconds: number;
	readonly bodyMilliseconds: number;
	readonly resume: {readonly offset: number; readonly validator: string} | undefined;
	readonly onHead: (head: AnswerHead) => void;
	readonly onChunk: (text: string) => void;
	readonly onEnd: () => void;
	readonly onReset: () => void;
};

export type Report = {
	readonly inFlight: number; readonly queued: number; readonly slots: number; readonly instance: string; readonly isLeaving: boolean;
};

export type AnswerHead = {
	readonly status: number;
	readonly isDeclaredNotRun: boolean;
	readonly validator: string | undefined;
	readonly report: Report;
};

type Work = {readonly incoming: IncomingCall; isRunning: boolean; isCancelled: boolean};

const slots = 6;
const chunkCount = 4;
const crashDelayMilliseconds = 2;
const slowFactor = 20;

export class FakeBackendServer {
	readonly name: string;
	treatment: Treatment = 'normal';
	isLeaving = false;
	/** Version of the content that idempotent calls read. A resumed download must not mix two versions. */
	contentVersion = 1;
	private readonly _timeline: Timeline;
	private readonly _record: (event: HistoryEvent) => void;
	private readonly _restartAfterCrash: (server: FakeBackendServer) => void;
	private readonly _work = new Set<Work>();
	private _deferred: Array<() => void> | undefined;
	private _instance = 1;
	private _isUp = true;
	private _runs = 0;

	/** `restartAfterCrash` is called 1000 ms after a crash, and starts a new process through the world, which records its return. */
	constructor(name: string, timeline: Timeline, record: (event: HistoryEvent) => void, restartAfterCrash: (server: FakeBackendServer) => void) {
		this._restartAfterCrash = restartAfterCrash;
		this.name = name;
		this._timeline = timeline;
		this._record = record;
	}

	get isUp(): boolean {
		return this._isUp;
	}

	get isFrozen(): boolean {
		return this._deferred !== undefined;
	}

	report(): Report {
		const running = [...this._work].filter(({isRunning}) => isRunning).length;
		const isHonest = this.treatment !== 'misleads';
		return {
			inFlight: isHonest ? running : 0,
			queued: isHonest ? this._work.size - running : 0,
			slots,
			instance: `${this.name}-${this._instance}`,
			isLeaving: this.isLeaving && isHonest,
		};
	}

	/** Accepts a call, and returns a function that cancels it. */
	accept(incoming: IncomingCall): () => void {
		const work: Work = {incoming, isRunning: false, isCancelled: false};
		this._work.add(work);
		this._runOrDefer(() => {
			this._begin(work);
		});
		return () => {
			this._runOrDefer(() => {
				work.isCancelled = true;
				this._finish(work);
			});
		};
	}

	/** Ends the process: resets all connections and discards all calls. */
	kill(): void {
		this._isUp = false;
		this._deferred = undefined;
		for (const {incoming, isCancelled} of this._work) {
			if (!isCancelled) {
				incoming.onReset();
			}
		}

		this._work.clear();
	}

	/** Starts a new process at the same address. */
	restart(): void {
		this._instance++;
		this._isUp = true;
		this.isLeaving = false;
		this.treatment = 'normal';
	}

	freeze(): void {
		this._deferred ??= [];
	}

	thaw(): void {
		const waiting = this._deferred ?? [];
		this._deferred = undefined;
		for (const task of waiting) {
			task();
		}
	}

	private _runOrDefer(task: () => void): void {
		if (this._deferred === undefined) {
			task();
		} else {
			this._deferred.push(task);
		}
	}

	private _schedule(work: Work, milliseconds: number, task: () => void): void {
		this._timeline.after(milliseconds, () => {
			this._runOrDefer(() => {
				if (this._work.has(work)) {
					task();
				}
			});
		});
	}

	private _begin(work: Work): void {
		const running = [...this._work].filter(({isRunning}) => isRunning).length;
		if (!this._work.has(work) || work.isRunning || running >= slots) {
			return;
		}

		if (this.treatment === 'sheds') {
			this._answerWithoutWork(work, {status: 503, isDeclaredNotRun: true});
			return;
		}

		work.isRunning = true;
		const {incoming} = work;
		const run = `${this.name}-${this._instance}-${++this._runs}`;
		this._record({
			type: 'run-began', at: this._timeline.now, run, call: incoming.call, backendServer: incoming.identity, dispatchedAt: incoming.dispatchedAt,
		});
		if (incoming.crashesBackendServer) {
			this._schedule(work, crashDelayMilliseconds, () => {
				this.kill();
				this._timeline.after(1000, () => {
					if (!this._isUp) {
						this._restartAfterCrash(this);
					}
				});
			});
			return;
		}

		if (this.treatment === 'fails-fast' || this.treatment === 'bare-503') {
			this._recordAnswer(run, incoming.call, '');
			this._answerWithoutWork(work, {status: this.treatment === 'fails-fast' ? 500 : 503, isDeclaredNotRun: false});
			return;
		}

		this._schedule(work, incoming.workMilliseconds * (this.treatment === 'slow' ? slowFactor : 1), () => {
			this._answer(work, run);
		});
	}

	private _answerWithoutWork(work: Work, head: {status: number; isDeclaredNotRun: boolean}): void {
		work.incoming.onHead({...head, validator: undefined, report: this.report()});
		work.incoming.onEnd();
		this._finish(work);
	}

	private _answer(work: Work, run: string): void {
		const {incoming} = work;
		const fullBody = incoming.isIdempotent ? `${incoming.call} as of version ${this.contentVersion} ${'.'.repeat(40)}` : `${incoming.call} done by ${run}`;
		this._recordAnswer(run, incoming.call, fullBody);
		const validator = incoming.isIdempotent ? `"${this.contentVersion}"` : undefined;
		const isPartial = incoming.resume !== undefined && incoming.resume.validator === validator;
		incoming.onHead({
			status: isPartial ? 206 : 200, isDeclaredNotRun: false, validator, report: this.report(),
		});
		const body = isPartial ? fullBody.slice(incoming.resume.offset) : fullBody;
		const length = Math.ceil(body.length / chunkCount);
		for (let chunk = 0; chunk < chunkCount; chunk++) {
			this._schedule(work, incoming.bodyMilliseconds * (chunk + 1) / chunkCount, () => {
				incoming.onChunk(body.slice(chunk * length, (chunk + 1) * length));
			});
		}

		this._schedule(work, incoming.bodyMilliseconds, () => {
			incoming.onEnd();
			this._finish(work);
		});
	}

	private _recordAnswer(run: string, call: string, body: string): void {
		this._record({
			type: 'answer-made', at: this._timeline.now, run, call, body,
		});
	}

	private _finish(work: Work): void {
		this._work.delete(work);
		for (const next of this._work) {
			this._begin(next);
		}
	}
}
