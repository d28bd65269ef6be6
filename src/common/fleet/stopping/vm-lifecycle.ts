/** Lifecycle of this VM's process; the state machine is charts/vm-life.json. A planned stop interrupts no call. */
import chartDefinition from '../../../../charts/vm-life.json' with {type: 'json'};
import {type Milliseconds} from '../../model/units.ts';
import {Chart} from '../chart.ts';
import {type FleetContext} from '../fleet-context.ts';
import {type FleetStage, type FrontTraffic} from '../types.ts';

type Action = 'start' | 'serve' | 'leave' | 'closeIdle' | 'drain' | 'handOver' | 'end';
type Event = 'CONFIGURED' | 'STOP' | 'ANSWERS_EXPIRED' | 'IDLE_CLOSED' | 'DRAINED' | 'HANDED_OVER';

/**
 * Time for the leave announcement to reach all VMs, in addition to the time for which callers cache an address answer.
 * A VM that misses the announcement suspects this VM only after its process has ended; by then the answers that this VM
 * gave have expired as well.
 */
const announcementSpreadMilliseconds: Milliseconds = 2000;

/** Time between closing idle connections and refusing new ones. A caller whose connection was closed connects to another VM; late new connections are still served here. */
const idleCloseMilliseconds: Milliseconds = 1000;

/** Actions of a planned stop that other components carry out. */
export type VmLifecycleActions = {
	/** Announces to the other VMs that this VM is leaving. */
	readonly announce: () => void;
	/** Hands the share slot over and calls `onDone` when that has finished. */
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
				this._scheduleEvent('answers-expired', _context.settings.addressTtlMilliseconds + announcementSpreadMilliseconds, 'ANSWERS_EXPIRED');
			},
			closeIdle: () => {
				this._enter('closing-idle');
				this._scheduleEvent('idle-closed', idleCloseMilliseconds, 'IDLE_CLOSED');
			},
			drain: () => {
				// The last known number of calls in flight is up to half a second old, and a call may have arrived since. Only a
				// number reported after this point, with the listener closed, may end the process.
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

	/** Starts a planned stop; a second request has no effect. */
	stop(): void {
		this._chart.send('STOP');
	}

	/** Updates the number of calls in flight. Draining has no time limit, as a download may take hours. */
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
