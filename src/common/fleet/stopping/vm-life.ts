/** Life of this VM's process; states and order are in charts/vm-life.json. A planned stop cuts off no call. */
import chartDefinition from '../../../../charts/vm-life.json' with {type: 'json'};
import {type Milliseconds} from '../../model/units.ts';
import {Chart} from '../chart.ts';
import {type FleetContext} from '../fleet-context.ts';
import {type FleetStage, type FrontTraffic} from '../types.ts';

type Action = 'start' | 'serve' | 'leave' | 'closeIdle' | 'drain' | 'handOver' | 'end';
type Event = 'CONFIGURED' | 'STOP' | 'ANSWERS_EXPIRED' | 'IDLE_CLOSED' | 'DRAINED' | 'HANDED_OVER';

/**
 * Time for the word that this VM leaves to reach all others, beyond the time for which callers keep an answer.
 * A VM that misses the word suspects this one only after its end; by then its own answers have expired as well.
 */
const announcementSpreadMilliseconds: Milliseconds = 2000;

/** Callers whose connection was closed open another elsewhere; this long a late one is still served here. */
const idleCloseMilliseconds: Milliseconds = 1000;

/** What a stop needs done by others. */
export type VmLifecycleActions = {
	/** Tell the other VMs that this one leaves. */
	readonly announce: () => void;
	/** Hand the share slot over, and call back when that is done. */
	readonly handOver: (onDone: () => void) => void;
};

export class VmLifecycle {
	private readonly _chart: Chart<Action, Event>;
	private _stage: FleetStage = 'starting';
	private _callsInFlight = 0;

	constructor(private readonly _context: FleetContext, parts: VmLifecycleActions) {
		this._chart = new Chart<Action, Event>(chartDefinition, {
			start: () => {
				this._enter('starting');
			},
			serve: () => {
				this._enter('serving');
			},
			leave: () => {
				this._enter('leaving');
				parts.announce();
				this._scheduleEvent('answers-expired', _context.settings.answerKeepMilliseconds + announcementSpreadMilliseconds, 'ANSWERS_EXPIRED');
			},
			closeIdle: () => {
				this._enter('closing-idle');
				this._scheduleEvent('idle-closed', idleCloseMilliseconds, 'IDLE_CLOSED');
			},
			drain: () => {
				// The count at hand is up to half a second old, and a call may have come since: only one that is
				// told from now on, with the listener closed, may end the process.
				this._enter('draining');
			},
			handOver: () => {
				parts.handOver(() => {
					this._chart.send('HANDED_OVER');
				});
			},
			end: () => {
				this._enter('ended');
			},
		});
	}

	get stage(): FleetStage {
		return this._stage;
	}

	get isStopping(): boolean {
		return this._stage !== 'starting' && this._stage !== 'serving';
	}

	start(): void {
		this._chart.start();
	}

	handleConfigured(): void {
		this._chart.send('CONFIGURED');
	}

	/** A planned stop; a second request changes nothing. */
	stop(): void {
		this._chart.send('STOP');
	}

	/** A download may take hours: there is no limit after which it would be cut. */
	handleTraffic(traffic: FrontTraffic): void {
		this._callsInFlight = traffic.callsInFlight;
		this._checkDrained();
	}

	private _enter(stage: FleetStage): void {
		this._stage = stage;
		this._context.emit({type: 'stage', stage});
	}

	private _scheduleEvent(name: string, milliseconds: Milliseconds, event: Event): void {
		this._context.timers.set(name, this._context.now + milliseconds, () => {
			this._chart.send(event);
		});
	}

	private _checkDrained(): void {
		if (this._stage === 'draining' && this._callsInFlight === 0) {
			this._chart.send('DRAINED');
		}
	}
}
