/**
 * Lifecycle of a VM whose process is killed a fixed time after the stop request, as the state machine in
 * charts/bounded-stop.json. After the request the VM is no longer among the addresses for callers, but still serves
 * callers that use a cached list of addresses. It accepts no call that might not finish in time.
 */
import chart from '../../../charts/bounded-stop.json' with {type: 'json'};
import {type FleetStage} from '../fleet/types.ts';
import {type Timers} from '../fleet/timers.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {chartTable} from '../state/chart-table.ts';

type State = keyof typeof chart.states;
type Event = 'CONFIGURED' | 'STOP' | 'TOO_LATE' | 'IDLE' | 'ENDING' | 'TIME_UP';

/** Time for the last response to be sent and the process to exit before it is killed. */
const endMarginMilliseconds: Milliseconds = 250;

/**
 * Queued calls are refused this long before the end: no backend server would answer them in the remaining time. Twice
 * the end margin, so that the refusals reach their callers.
 */
const refusalMarginMilliseconds: Milliseconds = 500;

/**
 * Fraction of the grace time in which calls are accepted however long they may last, since callers use cached addresses, and
 * the bound of that time: a call that is sent later than this after the stop request must not be cut.
 */
const minAcceptFraction = 0.5;
const maxUncertainMilliseconds: Milliseconds = 3000;

/** The stop request, and a call's last bytes, may reach this process later than they were sent. */
const deliveryMarginMilliseconds: Milliseconds = 250;

/** Fraction of the grace time after which no call is accepted, however short it may be. */
const maxAcceptFraction = 0.8;

/**
 * The VM does not end for this long after it has stopped accepting calls, so that late callers are still directed to
 * other VMs.
 */
const redirectMilliseconds: Milliseconds = 300;

const stages: Readonly<Record<State, FleetStage>> = {
	starting: 'starting', serving: 'serving', leaving: 'leaving', draining: 'draining', refusing: 'refusing', ended: 'ended',
};

const table = chartTable<State>(chart);

/** Settings and callbacks of the stop. */
export type BoundedStopOptions = {
	readonly timers: Timers;
	readonly graceMilliseconds: Milliseconds;
	/** Longest time that a call may last by the current routes. */
	readonly longestCallMilliseconds: () => Milliseconds;
	readonly onStage: (stage: FleetStage) => void;
};

export class BoundedStop {
	private readonly _options: BoundedStopOptions;
	private _state: State = 'starting';
	private _callsInFlight = 0;
	private _mayEnd = false;

	constructor(options: BoundedStopOptions) {
		this._options = options;
	}

	get stage(): FleetStage {
		return stages[this._state];
	}

	get isStopping(): boolean {
		return this._state === 'leaving' || this._state === 'draining' || this._state === 'refusing' || this._state === 'ended';
	}

	onConfigured(): void {
		this._send('CONFIGURED');
	}

	/** Starts the stop at `now`. */
	stop(now: Instant): void {
		if (this.isStopping) {
			return;
		}

		const {timers, graceMilliseconds} = this._options;
		const acceptMilliseconds = Math.min(
			maxAcceptFraction * graceMilliseconds,
			Math.max(Math.min(minAcceptFraction * graceMilliseconds, maxUncertainMilliseconds) - deliveryMarginMilliseconds, graceMilliseconds - endMarginMilliseconds - this._options.longestCallMilliseconds()),
		);
		timers.set('too-late', now + acceptMilliseconds, () => {
			this._send('TOO_LATE');
		});
		timers.set('linger', now + acceptMilliseconds + redirectMilliseconds, () => {
			this._mayEnd = true;
			this._endIfIdle();
		});
		timers.set('ending', now + graceMilliseconds - refusalMarginMilliseconds, () => {
			this._send('ENDING');
		});
		timers.set('time-up', now + graceMilliseconds - endMarginMilliseconds, () => {
			this._send('TIME_UP');
		});
		this._send('STOP');
	}

	/** Sets the number of calls whose responses are not fully sent. */
	setCallsInFlight(callsInFlight: number): void {
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
			this._options.onStage(this.stage);
		}
	}
}
