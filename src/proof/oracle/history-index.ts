/** A history put in order once, so that each promise's check reads plainly. */
import {
	type BackendServerEvent, type CallerEvent, type HistoryEvent, type ObserverTime,
} from './types.ts';

type Run = Extract<BackendServerEvent, {type: 'run-began'}>;
type AnswerMade = Extract<BackendServerEvent, {type: 'answer-made'}>;
type CallSent = Extract<CallerEvent, {type: 'call-sent'}>;
type CallEnd = Exclude<CallerEvent, {type: 'call-sent'}>;

/** One call with all that was seen of it. */
export type CallRecord = {
	readonly call: string;
	readonly sent: CallSent | undefined;
	readonly ends: readonly CallEnd[];
	readonly runs: readonly Run[];
	readonly answers: readonly AnswerMade[];
};

/** A time in which something was wrong with a party; without an end it lasts to the end of the history. */
export type FaultSpan = {readonly party: string; readonly fault: string; readonly from: ObserverTime; until: ObserverTime};

type MutableCallRecord = {call: string; sent: CallSent | undefined; ends: CallEnd[]; runs: Run[]; answers: AnswerMade[]};

export class HistoryIndex {
	readonly calls = new Map<string, MutableCallRecord>();
	readonly faults: FaultSpan[] = [];
	/** Time of the last event: what was due later is not judged. */
	readonly end: ObserverTime;

	/** Takes events in order of time. */
	constructor(readonly events: readonly HistoryEvent[]) {
		this.end = events.at(-1)?.at ?? 0;
		for (const event of events) {
			this._take(event);
		}
	}

	/** Events of one type, in order. */
	ofType<Type extends HistoryEvent['type']>(type: Type): ReadonlyArray<Extract<HistoryEvent, {type: Type}>> {
		return this.events.filter((event): event is Extract<HistoryEvent, {type: Type}> => event.type === type);
	}

	/** True if the fault (any if none is named) was at one of the parties at any time from `from` to `until`. */
	wasDisturbed(parties: readonly string[], from: ObserverTime, until: ObserverTime, fault?: string): boolean {
		return this.faults.some(span => parties.includes(span.party) && (fault === undefined || span.fault === fault) && span.from <= until && span.until >= from);
	}

	/** Start of the first span of this length, not before `from`, with nothing wrong with the party. */
	undisturbedFrom(party: string, from: ObserverTime, milliseconds: number): ObserverTime {
		const span = this.faults.find(one => one.party === party && one.from <= from + milliseconds && one.until > from);
		return span === undefined ? from : this.undisturbedFrom(party, span.until, milliseconds);
	}

	private _take(event: HistoryEvent): void {
		// eslint-disable-next-line @typescript-eslint/switch-exhaustiveness-check -- only calls and faults are indexed; the rest is read by type
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
