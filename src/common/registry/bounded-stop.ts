/**
 * Life of a VM whose process is killed a fixed time after the order to stop. States and order are in
 * charts/bounded-stop.json. It stays among the answers to nobody, serves callers that keep an old answer, and takes
 * no call that could not end in time.
 */
import chart from '../../../charts/bounded-stop.json' with {type: 'json'};
import {type FleetStage} from '../fleet/types.ts';
import {type Timers} from '../fleet/timers.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {chartTable} from './chart-table.ts';

type State = keyof typeof chart.states;
type Event = 'CONFIGURED' | 'STOP' | 'TOO_LATE' | 'IDLE' | 'ENDING' | 'TIME_UP';

/** Time for the last answer to leave and for the process to end before it is killed. */
const endMargin: Milliseconds = 250;

/**
 * Time before the end at which calls that still wait for a place are refused: as long again, so that the refusal reaches
 * its caller. No backend server would answer them within what is left.
 */
const refusalMargin: Milliseconds = 500;

/** Part of the grace time in which calls are taken at least, however long they may last: callers keep old answers. */
const leastTakenPart = 0.5;

/** Part after which none is taken, however short it may be. */
const mostTakenPart = 0.8;

/** A call that comes just after the last one was taken is still told to go elsewhere. */
const lingerMilliseconds: Milliseconds = 300;

const stages: Readonly<Record<State, FleetStage>> = {
	starting: 'starting', serving: 'serving', leaving: 'leaving', draining: 'draining', refusing: 'refusing', ended: 'ended',
};

const table = chartTable<State>(chart);

/** What a stop needs to know and to have done. */
export type BoundedStopParts = {
	readonly timers: Timers;
	readonly graceMilliseconds: Milliseconds;
	/** Longest time that a call may last, by the routes in force. */
	readonly longestCall: () => Milliseconds;
	readonly onStage: (stage: FleetStage) => void;
};

export class BoundedStop {
	private readonly _parts: BoundedStopParts;
	private _state: State = 'starting';
	private _callsInFlight = 0;
	private _mayEnd = false;

	constructor(parts: BoundedStopParts) {
		this._parts = parts;
	}

	get stage(): FleetStage {
		return stages[this._state];
	}

	get isStopping(): boolean {
		return this._state === 'leaving' || this._state === 'draining' || this._state === 'refusing' || this._state === 'ended';
	}

	takeConfigured(): void {
		this._send('CONFIGURED');
	}

	/** The order to stop has come at `now`. */
	stop(now: Instant): void {
		if (this.isStopping) {
			return;
		}

		const {timers, graceMilliseconds} = this._parts;
		const takes = Math.min(mostTakenPart * graceMilliseconds, Math.max(leastTakenPart * graceMilliseconds, graceMilliseconds - endMargin - this._parts.longestCall()));
		timers.set('too-late', now + takes, () => {
			this._send('TOO_LATE');
		});
		timers.set('linger', now + takes + lingerMilliseconds, () => {
			this._mayEnd = true;
			this._endIfIdle();
		});
		timers.set('ending', now + graceMilliseconds - refusalMargin, () => {
			this._send('ENDING');
		});
		timers.set('time-up', now + graceMilliseconds - endMargin, () => {
			this._send('TIME_UP');
		});
		this._send('STOP');
	}

	/** Calls whose answers are not wholly out. */
	takeTraffic(callsInFlight: number): void {
		this._callsInFlight = callsInFlight;
		this._endIfIdle();
	}

	private _endIfIdle(): void {
		if (this._mayEnd && this._callsInFlight === 0) {
			this._send('IDLE');
		}
	}

	private _send(event: Event): void {
		const next = table.get(this._state)?.get(event);
		if (next !== undefined) {
			this._state = next;
			this._parts.onStage(this.stage);
		}
	}
}
