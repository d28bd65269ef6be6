/** Model of a backend server: slots, a queue, and a speed that can change while calls run. */
import {TimerQueue} from '../../src/common/calls/timer-queue.ts';
import {type LoadReport} from '../../src/common/calls/types.ts';
import {type Instant, type Milliseconds} from '../../src/common/model/units.ts';
import {type ServerControl} from './types.ts';

/** Clock and event queue of a simulation in virtual time. */
export class VirtualTime {
	now: Instant = 0;
	private readonly _events = new TimerQueue<() => void>();

	at(instant: Instant, action: () => void): void {
		this._events.add(Math.max(instant, this.now), action);
	}

	/** Runs scheduled actions in order until none is left or the next one is later than `end`. */
	run(end: Instant): void {
		for (let next = this._events.earliest; next !== undefined && next <= end; next = this._events.earliest) {
			this.now = next;
			this._events.takeDue(next)!();
		}
	}
}

/** How a call at a backend server ended. */
export type WorkOutcome = 'done' | 'failed-fast' | 'shed' | 'refused' | 'reset';

/** A call at a backend server. */
export type WorkItem = {
	readonly work: Milliseconds;
	/** A call that is still queued at this instant is shed as not run. */
	readonly deadline: Instant;
	readonly onEnd: (end: WorkOutcome) => void;
	/** Called when the call enters a slot. */
	readonly onStart: () => void;
	remaining: number;
	spent: Milliseconds;
	isOver: boolean;
};

/** Connection limit of a backend server: further calls, running and queued together, are shed. */
const maxCalls = 250;

/** Behaviour of a backend server under high load. */
export type ServerBehaviour = {
	/** Maximum number of queued calls; further calls are shed. */
	readonly queueLimit: number;
	/** Whether a call beyond the queue limit is never answered instead of being shed. */
	readonly isSilentWhenFull: boolean;
	/** Fraction of slots in use above which all running calls take `kneeSlowdown` times as long. */
	readonly kneeSlotFraction: number;
	readonly kneeSlowdown: number;
	/** Whether load reports contain `workTimeFactor`. */
	readonly reportsWorkTime: boolean;
};

const defaultBehaviour: ServerBehaviour = {
	queueLimit: Infinity, isSilentWhenFull: false, kneeSlotFraction: 1, kneeSlowdown: 1, reportsWorkTime: false,
};

/** Duration of a fail-fast answer. */
const failFastMilliseconds: Milliseconds = 0.2;

/** One backend server. */
export class ModelServer implements ServerControl {
	readonly slots: number;
	/** Total slot time used. */
	slotTime: Milliseconds = 0;
	arrivals = 0;
	private readonly _time: VirtualTime;
	private readonly _reportLag: Milliseconds;
	private readonly _name: string;
	private readonly _behaviour: ServerBehaviour;
	private _running: WorkItem[] = [];
	private _queue: WorkItem[] = [];
	private _speed = 1;
	private _updatedAt: Instant = 0;
	private _scheduleVersion = 0;
	private _incarnation = 1;
	private _isFailingFast = false;
	private _isDown = false;
	private _reportOverride: ((actual: LoadReport) => LoadReport) | undefined;
	private readonly _history: Array<{readonly at: Instant; readonly inFlight: number; readonly queued: number}> = [];

	constructor(time: VirtualTime, name: string, slots: number, reportLag: Milliseconds, behaviour: ServerBehaviour = defaultBehaviour) {
		this._time = time;
		this._name = name;
		this.slots = slots;
		this._reportLag = reportLag;
		this._behaviour = behaviour;
	}

	/** Load report; undefined while the process is down. */
	report(): LoadReport | undefined {
		if (this._isDown) {
			return undefined;
		}

		const delayed = this._reportLag === 0 ? undefined : this._loadAt(this._time.now - this._reportLag);
		const actual: LoadReport = {
			inFlight: delayed?.inFlight ?? this._running.length,
			queued: delayed?.queued ?? this._queue.length,
			slots: this.slots,
			instance: `${this._name}-${this._incarnation}`,
			isLeaving: false,
			...(this._behaviour.reportsWorkTime ? {workTimeFactor: 1 / this._speed} : {}),
		};
		return this._reportOverride === undefined ? actual : this._reportOverride(actual);
	}

	accept(work: WorkItem): void {
		if (this._isDown) {
			work.isOver = true;
			work.onEnd('refused');
			return;
		}

		this.arrivals++;
		if (this._isFailingFast) {
			work.isOver = true;
			this._time.at(this._time.now + failFastMilliseconds, () => {
				work.onEnd('failed-fast');
			});
			return;
		}

		const {queueLimit, isSilentWhenFull} = this._behaviour;
		if (this._running.length + this._queue.length >= Math.min(maxCalls, this.slots + queueLimit)) {
			if (!isSilentWhenFull) {
				work.isOver = true;
				work.onEnd('shed');
			}

			return;
		}

		this._queue.push(work);
		this._startQueued();
	}

	cancel(work: WorkItem): void {
		if (work.isOver) {
			return;
		}

		work.isOver = true;
		this._advanceWork();
		this._running = this._running.filter(one => one !== work);
		this._queue = this._queue.filter(one => one !== work);
		this._startQueued();
	}

	setSpeed(speed: number): void {
		this._advanceWork();
		this._speed = speed;
		this._scheduleCompletion();
	}

	setFailingFast(isFailing: boolean): void {
		this._isFailingFast = isFailing;
	}

	setReportOverride(override: ((actual: LoadReport) => LoadReport) | undefined): void {
		this._reportOverride = override;
	}

	crash(): void {
		this._advanceWork();
		this._isDown = true;
		const lost = [...this._running, ...this._queue];
		this._running = [];
		this._queue = [];
		this._scheduleCompletion();
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
					// No VM waits for a foreign call.
				},
				onEnd() {
					// No VM waits for a foreign call.
				},
			});
		}

		this._startQueued();
	}

	private _startQueued(): void {
		this._advanceWork();
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

		this._recordHistory();
		this._scheduleCompletion();
	}

	/** Milliseconds of work that each slot in use completes per millisecond. */
	private get _rate(): number {
		const {kneeSlotFraction, kneeSlowdown} = this._behaviour;
		return this._running.length > kneeSlotFraction * this.slots ? this._speed / kneeSlowdown : this._speed;
	}

	/** Advances the running calls to the present instant. */
	private _advanceWork(): void {
		const elapsed = this._time.now - this._updatedAt;
		this._updatedAt = this._time.now;
		if (elapsed === 0) {
			return;
		}

		const rate = this._rate;
		for (const work of this._running) {
			work.remaining -= elapsed * rate;
			work.spent += elapsed;
		}

		this.slotTime += elapsed * this._running.length;
	}

	private _scheduleCompletion(): void {
		const version = ++this._scheduleVersion;
		let minRemaining = Infinity;
		for (const work of this._running) {
			minRemaining = Math.min(minRemaining, work.remaining);
		}

		const rate = this._rate;
		if (minRemaining < Infinity && rate > 0) {
			this._time.at(this._time.now + (Math.max(0, minRemaining) / rate), () => {
				if (version === this._scheduleVersion) {
					this._finish();
				}
			});
		}
	}

	private _finish(): void {
		this._advanceWork();
		const done = this._running.filter(work => work.remaining <= 1e-9);
		this._running = this._running.filter(work => work.remaining > 1e-9);
		this._startQueued();
		for (const work of done) {
			work.isOver = true;
			work.onEnd('done');
		}
	}

	private _recordHistory(): void {
		if (this._reportLag > 0) {
			this._history.push({at: this._time.now, inFlight: this._running.length, queued: this._queue.length});
		}
	}

	/** Returns the latest history entry at or before an instant and drops older entries. */
	private _loadAt(instant: Instant): {readonly inFlight: number; readonly queued: number} {
		while (this._history.length > 1 && this._history[1]!.at <= instant) {
			this._history.shift();
		}

		const first = this._history[0];
		return first !== undefined && first.at <= instant ? first : {inFlight: 0, queued: 0};
	}
}
