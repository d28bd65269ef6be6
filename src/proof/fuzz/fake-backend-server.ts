/** A plain process that runs calls and records what it ran. Knows nothing of balancers. */
import {type HistoryEvent} from '../oracle/types.ts';
import {type Timeline} from './timeline.ts';

/** How it treats calls now. */
export type Treatment = 'normal' | 'slow' | 'fails-fast' | 'sheds' | 'bare-503' | 'misleads';

/** A call as it comes over a connection, and where its answer goes. */
export type IncomingCall = {
	readonly call: string;
	readonly givenAt: number;
	/** Declared identity under which the balancer sent it. */
	readonly identity: string;
	readonly isIdempotent: boolean;
	readonly isKiller: boolean;
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
const killerMilliseconds = 2;
const slowFactor = 20;

export class FakeBackendServer {
	readonly name: string;
	treatment: Treatment = 'normal';
	isLeaving = false;
	/** Version of what idempotent calls read; a resumed download must not mix two. */
	contentVersion = 1;
	private readonly _timeline: Timeline;
	private readonly _record: (event: HistoryEvent) => void;
	private readonly _onCrashOver: (server: FakeBackendServer) => void;
	private readonly _work = new Set<Work>();
	private _frozen: Array<() => void> | undefined;
	private _instance = 1;
	private _isUp = true;
	private _runs = 0;

	/** `onCrashOver` restarts it, so that the world knows of the new process. */
	constructor(name: string, timeline: Timeline, record: (event: HistoryEvent) => void, onCrashOver: (server: FakeBackendServer) => void) {
		this._onCrashOver = onCrashOver;
		this.name = name;
		this._timeline = timeline;
		this._record = record;
	}

	get isUp(): boolean {
		return this._isUp;
	}

	get isFrozen(): boolean {
		return this._frozen !== undefined;
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

	/** Takes a call; the function given back cancels it. */
	take(incoming: IncomingCall): () => void {
		const work: Work = {incoming, isRunning: false, isCancelled: false};
		this._work.add(work);
		this._whenAwake(() => {
			this._begin(work);
		});
		return () => {
			this._whenAwake(() => {
				work.isCancelled = true;
				this._finish(work);
			});
		};
	}

	/** All its connections are cut, and what ran is lost. */
	kill(): void {
		this._isUp = false;
		this._frozen = undefined;
		for (const {incoming, isCancelled} of this._work) {
			if (!isCancelled) {
				incoming.onReset();
			}
		}

		this._work.clear();
	}

	/** A new process under the same address. */
	restart(): void {
		this._instance++;
		this._isUp = true;
		this.isLeaving = false;
		this.treatment = 'normal';
	}

	freeze(): void {
		this._frozen ??= [];
	}

	thaw(): void {
		const waiting = this._frozen ?? [];
		this._frozen = undefined;
		for (const task of waiting) {
			task();
		}
	}

	private _whenAwake(task: () => void): void {
		if (this._frozen === undefined) {
			task();
		} else {
			this._frozen.push(task);
		}
	}

	private _later(work: Work, milliseconds: number, task: () => void): void {
		this._timeline.after(milliseconds, () => {
			this._whenAwake(() => {
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
			type: 'run-began', at: this._timeline.now, run, call: incoming.call, backendServer: incoming.identity, givenAt: incoming.givenAt,
		});
		if (incoming.isKiller) {
			this._later(work, killerMilliseconds, () => {
				this.kill();
				this._timeline.after(1000, () => {
					if (!this._isUp) {
						this._onCrashOver(this);
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

		this._later(work, incoming.workMilliseconds * (this.treatment === 'slow' ? slowFactor : 1), () => {
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
		const whole = incoming.isIdempotent ? `${incoming.call} as of version ${this.contentVersion} ${'.'.repeat(40)}` : `${incoming.call} done by ${run}`;
		this._recordAnswer(run, incoming.call, whole);
		const validator = incoming.isIdempotent ? `"${this.contentVersion}"` : undefined;
		const isPart = incoming.resume !== undefined && incoming.resume.validator === validator;
		incoming.onHead({
			status: isPart ? 206 : 200, isDeclaredNotRun: false, validator, report: this.report(),
		});
		const body = isPart ? whole.slice(incoming.resume.offset) : whole;
		const length = Math.ceil(body.length / chunkCount);
		for (let chunk = 0; chunk < chunkCount; chunk++) {
			this._later(work, incoming.bodyMilliseconds * (chunk + 1) / chunkCount, () => {
				incoming.onChunk(body.slice(chunk * length, (chunk + 1) * length));
			});
		}

		this._later(work, incoming.bodyMilliseconds, () => {
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
