/** Runs a state chart from a JSON file with xstate's pure transition functions; the entry actions are passed in as functions. */
import {
	type AnyMachineSnapshot, type AnyStateMachine, createMachine, initialTransition, transition,
} from 'xstate';

/** Content of a chart's JSON file. */
export type ChartDefinition = {
	readonly id: string;
	readonly initial: string;
	readonly states: Readonly<Record<string, {
		readonly entry?: string;
		readonly on?: Readonly<Record<string, string>>;
		readonly type?: string;
	}>>;
};

const machines = new Map<ChartDefinition, AnyStateMachine>();

function compile({id, initial, states}: ChartDefinition): AnyStateMachine {
	return createMachine({
		id,
		initial,
		states: Object.fromEntries(Object.entries(states).map(([name, state]) => [name, {
			entry: state.entry,
			on: {...state.on},
			type: state.type === 'final' ? 'final' as const : undefined,
		}])),
	});
}

function machineOf(definition: ChartDefinition): AnyStateMachine {
	const machine = machines.get(definition) ?? compile(definition);
	machines.set(definition, machine);
	return machine;
}

/** One run of a chart. An event sent by an action is queued until the actions of the current transition have run. */
export class Chart<Action extends string, Event extends string> {
	private readonly _actions: ReadonlyMap<string, () => void>;
	private readonly _machine: AnyStateMachine;
	private _snapshot: AnyMachineSnapshot | undefined;
	private readonly _queue: Event[] = [];
	private _isRunning = false;

	constructor(definition: ChartDefinition, actions: Readonly<Record<Action, () => void>>) {
		this._machine = machineOf(definition);
		this._actions = new Map(Object.entries(actions));
	}

	/** Name of the current state; empty before the start. */
	get state(): string {
		return String(this._snapshot?.value ?? '');
	}

	/** Enters the initial state. */
	start(): void {
		const [snapshot, actions] = initialTransition(this._machine);
		this._snapshot = snapshot;
		this._runActions(actions);
	}

	/** Queues an event. An event that the current state does not handle is dropped, as it belongs to an earlier state. */
	send(event: Event): void {
		this._queue.push(event);
		if (!this._isRunning) {
			this._processQueue();
		}
	}

	private _processQueue(): void {
		for (let event = this._queue.shift(); event !== undefined; event = this._queue.shift()) {
			if (this._snapshot) {
				const [snapshot, actions] = transition(this._machine, this._snapshot, {type: event});
				this._snapshot = snapshot;
				this._runActions(actions);
			}
		}
	}

	private _runActions(actions: ReadonlyArray<{readonly type: string}>): void {
		const wasRunning = this._isRunning;
		this._isRunning = true;
		for (const {type} of actions) {
			this._actions.get(type)?.();
		}

		this._isRunning = wasRunning;
		if (!wasRunning) {
			this._processQueue();
		}
	}
}
