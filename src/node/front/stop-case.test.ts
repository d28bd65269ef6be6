/** Runs stop cases: a planned stop of one VM at a chosen point of a call, with one backend server and raw callers. */
import {Disposable, DisposableStore} from '../../common/lifecycle/disposable.ts';
import {
	type BackendCall, ConnectionTracker, waitUntil, RawBackend, RawCaller,
} from './stop-test-utilities.test.ts';

/** The VM or listener to be stopped, with one backend server behind it. */
export type StopTarget = {
	readonly port: number;
	/** Path prefix of all calls; the name of the call follows it. */
	readonly pathPrefix: string;
	/** Number of calls that are sent to the backend server concurrently before it has answered any. */
	readonly initialConcurrency: number;
	/** Returns the number of calls that the engine has completed. */
	readonly endedCalls: () => number;
	/** Starts the planned stop; resolves once the stage under test is entered. */
	readonly stop: () => Promise<void>;
	/** Continues to the last stage; resolves once the VM has ended and its sockets are closed. */
	readonly finish: () => Promise<void>;
	readonly hasEnded: () => boolean;
};

/** Starts a target whose backend server listens on this port. */
export type StartStopTarget = (owned: DisposableStore, backendPort: number) => Promise<StopTarget>;

/** The target, backend server and callers of one stop case. */
export class StopCaseContext extends Disposable {
	readonly backend = new RawBackend();
	readonly callers: RawCaller[] = [];
	readonly tracker = this._register(new ConnectionTracker());
	private readonly _owned = this._register(new DisposableStore());
	private _target: StopTarget | undefined;

	get target(): StopTarget {
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

	/** Returns the complete head of a call, including the empty line at its end. */
	head(method: string, name: string, ...headers: string[]): string {
		return [`${method} ${this.target.pathPrefix}${name} HTTP/1.1`, 'host: one.example', `request-id: ${name}`, ...headers, '', ''].join('\r\n');
	}

	/** Resolves with a call once the backend server has received it; undefined if the VM ends first. */
	async waitForCall(name: string): Promise<BackendCall | undefined> {
		return this.backend.call(name, this.target.hasEnded);
	}

	async answer(name: string): Promise<void> {
		const call = await this.waitForCall(name);
		await call?.answer();
	}
}

/** One stop case. Its outcome for each connection: all answers on it, and the names of the calls that ran. */
export type StopCase = {
	readonly title: string;
	/** Advances a call to the point under test, stops the VM and continues the call. */
	readonly run: (context: StopCaseContext) => Promise<void>;
	/** Allowed outcomes, in the form that `outcomeOf` returns. */
	readonly allowed: readonly string[];
	/** The outcome includes which answers carry `connection: close`, because further calls follow on the connection. */
	readonly checksCloseHeader?: true;
};

/** Returns the outcome of one connection. If a case has several connections, a number in the names of calls identifies theirs. */
function outcomeOf({answers}: RawCaller, ran: readonly string[], index: number): string {
	const isAlone = ran.every(name => !name.includes('_'));
	const ownCalls = isAlone ? ran : ran.filter(name => name.endsWith(`_${index}`));
	return [answers.join('; '), '|', 'ran', ...ownCalls].join(' ').replaceAll(new RegExp(String.raw`_${index}\b`, 'gv'), '');
}

/** Runs one stop case; resolves with the outcomes that are not allowed, and how their connections ended. */
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

/** Number of cases that run concurrently. Most of a stop is waiting, but one process cannot run all cases at once. */
const maxConcurrentCases = 6;

/** Starts all cases; `outcomes` receives, by title, a promise of the outcomes that are not allowed. */
export function startStopCases(stopCases: readonly StopCase[], startTarget: StartStopTarget, outcomes: Map<string, Promise<readonly string[]>>): void {
	const results: Array<Promise<readonly string[]>> = [];
	const runAfter = async (previous: ReadonlyArray<Promise<unknown>>, stopCase: StopCase) => {
		await Promise.allSettled(previous);
		return runStopCase(stopCase, startTarget);
	};

	for (const [index, stopCase] of stopCases.entries()) {
		results.push(runAfter(index < maxConcurrentCases ? [] : [results[index - maxConcurrentCases]!], stopCase));
		outcomes.set(stopCase.title, results[index]!);
	}

	// A case may reject before its test awaits it; the rejection must not be reported as unhandled.
	void Promise.allSettled(results);
}
