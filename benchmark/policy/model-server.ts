/** A backend server of the model: slots, a queue, and a speed that can change under running calls. */
import {TimerQueue} from '../../src/common/calls/timer-queue.ts';
import {type LoadReport} from '../../src/common/calls/types.ts';
import {type Instant, type Milliseconds} from '../../src/common/model/units.ts';
import {type ServerControl} from './types.ts';

/** Virtual time: a plain event heap. */
export class VirtualTime {
	now: Instant = 0;
	private readonly _events = new TimerQueue<() => void>();

	at(instant: Instant, action: () => void): void {
		this._events.add(Math.max(instant, this.now), action);
	}

	/** Runs until nothing is left or `end` has come. */
	run(end: Instant): void {
		for (let next = this._events.earliest; next !== undefined && next <= end; next = this._events.earliest) {
			this.now = next;
			this._events.takeDue(next)!();
		}
	}
}

/** How work at a backend server ended. */
export type WorkEnd = 'done' | 'failed-fast' | 'shed' | 'refused' | 'reset';

/** A call at a backend server. */
export type Work = {
	readonly work: Milliseconds;
	/** The backend server accepts deadlines: work that is still queued then is dropped as not run. */
	readonly deadline: Instant;
	readonly onEnd: (end: WorkEnd) => void;
	/** First moment in a slot. */
	readonly onStart: () => void;
	remaining: number;
	spent: Milliseconds;
	isOver: boolean;
};

/** Calls it holds, running or queued, before it sheds: its connections. */
const callLimit = 250;

/** How a backend server behaves when it fills up. */
export type ServerBehaviour = {
	/** Calls that wait beyond its slots; one more is shed. */
	readonly queueLimit: number;
	/** It never answers a call that it has no room for, instead of shedding it. */
	readonly isSilentWhenFull: boolean;
	/** Part of its slots in use from which on all its work takes `kneeFactor` times as long. */
	readonly kneeAt: number;
	readonly kneeFactor: number;
	/** Its reports say how long work takes there at this moment. */
	readonly tellsWorkTime: boolean;
};

const plainBehaviour: ServerBehaviour = {
	queueLimit: Infinity, isSilentWhenFull: false, kneeAt: 1, kneeFactor: 1, tellsWorkTime: false,
};

/** How long a fail-fast answer takes. */
const failFastTime: Milliseconds = 0.2;

/** One backend server. */
export class ModelServer implements ServerControl {
	readonly slots: number;
	/** Slot time spent in all. */
	slotTime: Milliseconds = 0;
	arrivals = 0;
	private readonly _time: VirtualTime;
	private readonly _lag: Milliseconds;
	private readonly _name: string;
	private readonly _behaviour: ServerBehaviour;
	private _running: Work[] = [];
	private _queue: Work[] = [];
	private _speed = 1;
	private _updatedAt: Instant = 0;
	private _version = 0;
	private _incarnation = 1;
	private _isFailingFast = false;
	private _isDown = false;
	private _lie: ((truth: LoadReport) => LoadReport) | undefined;
	private readonly _history: Array<{readonly at: Instant; readonly inFlight: number; readonly queued: number}> = [];

	constructor(time: VirtualTime, name: string, slots: number, lag: Milliseconds, behaviour: ServerBehaviour = plainBehaviour) {
		this._time = time;
		this._name = name;
		this.slots = slots;
		this._lag = lag;
		this._behaviour = behaviour;
	}

	/** What it says of its load; undefined while its process is down. */
	report(): LoadReport | undefined {
		if (this._isDown) {
			return undefined;
		}

		const seen = this._lag === 0 ? undefined : this._past(this._time.now - this._lag);
		const truth: LoadReport = {
			inFlight: seen?.inFlight ?? this._running.length,
			queued: seen?.queued ?? this._queue.length,
			slots: this.slots,
			instance: `${this._name}-${this._incarnation}`,
			isLeaving: false,
			...(this._behaviour.tellsWorkTime ? {workTimeFactor: 1 / this._speed} : {}),
		};
		return this._lie === undefined ? truth : this._lie(truth);
	}

	accept(work: Work): void {
		if (this._isDown) {
			work.isOver = true;
			work.onEnd('refused');
			return;
		}

		this.arrivals++;
		if (this._isFailingFast) {
			work.isOver = true;
			this._time.at(this._time.now + failFastTime, () => {
				work.onEnd('failed-fast');
			});
			return;
		}

		const {queueLimit, isSilentWhenFull} = this._behaviour;
		if (this._running.length + this._queue.length >= Math.min(callLimit, this.slots + queueLimit)) {
			if (!isSilentWhenFull) {
				work.isOver = true;
				work.onEnd('shed');
			}

			return;
		}

		this._queue.push(work);
		this._fill();
	}

	cancel(work: Work): void {
		if (work.isOver) {
			return;
		}

		work.isOver = true;
		this._progress();
		this._running = this._running.filter(one => one !== work);
		this._queue = this._queue.filter(one => one !== work);
		this._fill();
	}

	setSpeed(speed: number): void {
		this._progress();
		this._speed = speed;
		this._plan();
	}

	setFailingFast(isFailing: boolean): void {
		this._isFailingFast = isFailing;
	}

	setReport(lie: ((truth: LoadReport) => LoadReport) | undefined): void {
		this._lie = lie;
	}

	crash(): void {
		this._progress();
		this._isDown = true;
		const lost = [...this._running, ...this._queue];
		this._running = [];
		this._queue = [];
		this._plan();
		for (const work of lost) {
			work.isOver = true;
			work.onEnd('reset');
		}
	}

	restart(): void {
		this._isDown = false;
		this._incarnation++;
	}

	addForeignCalls(count: number, work: Milliseconds): void {
		for (let index = 0; index < count; index++) {
			this._queue.push({
				work,
				deadline: Infinity,
				remaining: work,
				spent: 0,
				isOver: false,
				onStart() {
					// Nobody waits for it here.
				},
				onEnd() {
					// Nobody waits for it here.
				},
			});
		}

		this._fill();
	}

	private _fill(): void {
		this._progress();
		while (this._running.length < this.slots && this._queue.length > 0) {
			const work = this._queue.shift()!;
			if (work.deadline <= this._time.now) {
				work.isOver = true;
				work.onEnd('shed');
				continue;
			}

			work.onStart();
			this._running.push(work);
		}

		this._note();
		this._plan();
	}

	/** Work done in a millisecond of each slot in use. */
	private get _rate(): number {
		const {kneeAt, kneeFactor} = this._behaviour;
		return this._running.length > kneeAt * this.slots ? this._speed / kneeFactor : this._speed;
	}

	/** Brings what runs up to the present. */
	private _progress(): void {
		const passed = this._time.now - this._updatedAt;
		this._updatedAt = this._time.now;
		if (passed === 0) {
			return;
		}

		const rate = this._rate;
		for (const work of this._running) {
			work.remaining -= passed * rate;
			work.spent += passed;
		}

		this.slotTime += passed * this._running.length;
	}

	private _plan(): void {
		const version = ++this._version;
		let least = Infinity;
		for (const work of this._running) {
			least = Math.min(least, work.remaining);
		}

		const rate = this._rate;
		if (least < Infinity && rate > 0) {
			this._time.at(this._time.now + (Math.max(0, least) / rate), () => {
				if (version === this._version) {
					this._finish();
				}
			});
		}
	}

	private _finish(): void {
		this._progress();
		const done = this._running.filter(work => work.remaining <= 1e-9);
		this._running = this._running.filter(work => work.remaining > 1e-9);
		this._fill();
		for (const work of done) {
			work.isOver = true;
			work.onEnd('done');
		}
	}

	private _note(): void {
		if (this._lag > 0) {
			this._history.push({at: this._time.now, inFlight: this._running.length, queued: this._queue.length});
		}
	}

	/** The latest entry at or before an instant; what is older is dropped. */
	private _past(instant: Instant): {readonly inFlight: number; readonly queued: number} {
		while (this._history.length > 1 && this._history[1]!.at <= instant) {
			this._history.shift();
		}

		const first = this._history[0];
		return first !== undefined && first.at <= instant ? first : {inFlight: 0, queued: 0};
	}
}
