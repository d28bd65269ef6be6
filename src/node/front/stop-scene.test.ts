/** A moment of a planned stop as a play: one VM's listener, one backend server, callers, and what came of their calls. */
import {Disposable, DisposableStore} from '../../common/lifecycle/disposable.ts';
import {
	type BackendCall, ConnectionTracker, waitUntil, RawBackend, RawCaller,
} from './stop-test-utilities.test.ts';

/** A VM of one backend server, from the side of its callers' listener. */
export type Listener = {
	readonly port: number;
	/** Before the name of a call in its path. */
	readonly prefix: string;
	/** Calls that go to the backend server at once while it answers none. */
	readonly places: number;
	/** Calls of which the engine has seen the end. */
	readonly endedCalls: () => number;
	/** Begins the planned stop; resolves once the stage under test is entered. */
	readonly stop: () => Promise<void>;
	/** Goes on to the last stage; resolves once the VM has ended and its sockets are closed. */
	readonly finish: () => Promise<void>;
	readonly isOver: () => boolean;
};

/** Opens the listener before the backend server on this port. */
export type StartStopTarget = (owned: DisposableStore, backendPort: number) => Promise<Listener>;

/** What a moment is played with. */
export class StopCaseContext extends Disposable {
	readonly backend = new RawBackend();
	readonly callers: RawCaller[] = [];
	readonly tracker = this._register(new ConnectionTracker());
	private readonly _owned = this._register(new DisposableStore());
	private _target: Listener | undefined;

	get target(): Listener {
		return this._target!;
	}

	async start(startTarget: StartStopTarget): Promise<void> {
		this._target = await startTarget(this._owned, await this.backend.start(this._owned, this.tracker));
	}

	async caller(): Promise<RawCaller> {
		const caller = this._owned.add(new RawCaller(this.target.port, this.tracker));
		this.callers.push(caller);
		return caller.waitUntilAccepted();
	}

	/** Head of a call; the empty line that ends it comes with the last header. */
	head(method: string, name: string, ...headers: string[]): string {
		return [`${method} ${this.target.prefix}${name} HTTP/1.1`, 'host: one.example', `request-id: ${name}`, ...headers, '', ''].join('\r\n');
	}

	/** A call at the backend server; undefined if the VM ends before it is there. */
	async waitForCall(name: string): Promise<BackendCall | undefined> {
		return this.backend.call(name, this.target.isOver);
	}

	async answer(name: string): Promise<void> {
		const call = await this.waitForCall(name);
		await call?.answer();
	}
}

/** One moment. An outcome is all answers on a connection, and what ran of the calls on it. */
export type StopCase = {
	readonly title: string;
	/** Brings a call to the moment, stops the VM and goes on with the call. */
	readonly run: (context: StopCaseContext) => Promise<void>;
	readonly allowed: readonly string[];
	/** It matters which answer says `connection: close`, since calls come behind it. */
	readonly checksCloseHeader?: true;
};

/** What came of the calls on one connection; names of calls on connections of one moment differ by a number. */
function outcomeOf({answers}: RawCaller, ran: readonly string[], index: number): string {
	const isAlone = ran.every(name => !name.includes('_'));
	const ownCalls = isAlone ? ran : ran.filter(name => name.endsWith(`_${index}`));
	return [answers.join('; '), '|', 'ran', ...ownCalls].join(' ').replaceAll(new RegExp(String.raw`_${index}\b`, 'gv'), '');
}

/** Plays one moment; tells outcomes that are not among those allowed, and how connections ended. */
async function runStopCase({run, allowed, checksCloseHeader}: StopCase, startTarget: StartStopTarget): Promise<readonly string[]> {
	const context = new StopCaseContext();
	try {
		await context.start(startTarget);
		await run(context);
		await context.target.finish();
		await waitUntil(() => context.callers.every(({end}) => end !== 'open') && context.backend.openConnections === 0);
		const outcomes = context.callers.map((caller, index) => {
			const outcome = outcomeOf(caller, context.backend.ran, index);
			return {outcome: checksCloseHeader ? outcome : outcome.replaceAll(', close', ''), end: caller.end};
		});
		return outcomes.filter(({outcome}) => !allowed.includes(outcome)).map(({outcome, end}) => `${outcome} (${end})`);
	} finally {
		context.dispose();
	}
}

/** Moments that are played side by side: most of a stop is waiting, and one process has its limits. */
const maxConcurrentCases = 6;

/** Begins to play all moments; what is not allowed of each comes by its title. */
export function playMoments(stopCases: readonly StopCase[], startTarget: StartStopTarget, outcomes: Map<string, Promise<readonly string[]>>): void {
	const results: Array<Promise<readonly string[]>> = [];
	const runAfter = async (previous: ReadonlyArray<Promise<unknown>>, stopCase: StopCase) => {
		await Promise.allSettled(previous);
		return runStopCase(stopCase, startTarget);
	};

	for (const [index, stopCase] of stopCases.entries()) {
		results.push(runAfter(index < maxConcurrentCases ? [] : [results[index - maxConcurrentCases]!], stopCase));
		outcomes.set(stopCase.title, results[index]!);
	}

	// A moment that throws before its test awaits it is no unhandled rejection.
	void Promise.allSettled(results);
}
