/** Indexes a history by calls, faults and event types for the checks of the oracle. */
import {
	type BackendServerEvent, type CallerEvent, type HistoryEvent, type ObserverTime,
} from './types.ts';

type Run = Extract<BackendServerEvent, {type: 'run-began'}>;
type AnswerMade = Extract<BackendServerEvent, {type: 'answer-made'}>;
type CallSent = Extract<CallerEvent, {type: 'call-sent'}>;
type CallEnd = Exclude<CallerEvent, {type: 'call-sent'}>;

/** All events of one call. */
export type CallRecord = {
	readonly call: string;
	readonly sent: CallSent | undefined;
	readonly ends: readonly CallEnd[];
	readonly runs: readonly Run[];
	readonly answers: readonly AnswerMade[];
};

/** Period in which a party has a fault. `until` is infinite if the fault does not end in the history. */
export type FaultSpan = {readonly party: string; readonly fault: string; readonly from: ObserverTime; until: ObserverTime};

type MutableCallRecord = {call: string; sent: CallSent | undefined; ends: CallEnd[]; runs: Run[]; answers: AnswerMade[]};

export class HistoryIndex {
	readonly calls = new Map<string, MutableCallRecord>();
	readonly faults: FaultSpan[] = [];
	/** Time of the last event. Limits that expire later are not checked. */
	readonly end: ObserverTime;

	/** Requires the events in order of time. */
	constructor(readonly events: readonly HistoryEvent[]) {
		this.end = events.at(-1)?.at ?? 0;
		for (const event of events) {
			this._index(event);
		}
	}

	/** Events of one type, in order. */
	ofType<Type extends HistoryEvent['type']>(type: Type): ReadonlyArray<Extract<HistoryEvent, {type: Type}>> {
		return this.events.filter((event): event is Extract<HistoryEvent, {type: Type}> => event.type === type);
	}

	/** True if one of the parties had the fault (any fault if `fault` is omitted) at any time between `from` and `until`. */
	wasDisturbed(parties: readonly string[], from: ObserverTime, until: ObserverTime, fault?: string): boolean {
		return this.faults.some(span => parties.includes(span.party) && (fault === undefined || span.fault === fault) && span.from <= until && span.until >= from);
	}

	/** Start of the first period of this length, at or after `from`, in which the party has no fault. */
	findUndisturbedStart(party: string, from: ObserverTime, milliseconds: number): ObserverTime {
		const span = this.faults.find(one => one.party === party && one.from <= from + milliseconds && one.until > from);
		return span === undefined ? from : this.findUndisturbedStart(party, span.until, milliseconds);
	}

	private _index(event: HistoryEvent): void {
		// eslint-disable-next-line @typescript-eslint/switch-exhaustiveness-check -- only events of calls and faults are indexed; other events are read by type
		switch (event.type) {
			case 'call-sent': {
				this._callRecord(event.call).sent = event;
				break;
			}

			case 'answer-whole':
			case 'answer-broken':
			case 'caller-gone': {
				this._callRecord(event.call).ends.push(event);
				break;
			}

			case 'run-began': {
				this._callRecord(event.call).runs.push(event);
				break;
			}

			case 'answer-made': {
				this._callRecord(event.call).answers.push(event);
				break;
			}

			case 'fault-began': {
				this.faults.push({
					party: event.party, fault: event.fault, from: event.at, until: Number.POSITIVE_INFINITY,
				});
				break;
			}

			case 'fault-ended': {
				const span = this.faults.find(({party, fault, until}) => party === event.party && fault === event.fault && until === Number.POSITIVE_INFINITY);
				if (span !== undefined) {
					span.until = event.at;
				}

				break;
			}
		}
	}

	private _callRecord(call: string): MutableCallRecord {
		let record = this.calls.get(call);
		if (record === undefined) {
			record = {
				call, sent: undefined, ends: [], runs: [], answers: [],
			};
			this.calls.set(call, record);
		}

		return record;
	}
}
