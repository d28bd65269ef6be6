/** A moment of a planned stop as a play: one VM's listener, one backend server, callers, and what came of their calls. */
import {Disposable, DisposableStore} from '../../common/lifecycle/disposable.ts';
import {
	type BackendCall, ConnectionWatch, holds, RawBackend, RawCaller,
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
export type OpenListener = (owned: DisposableStore, backendPort: number) => Promise<Listener>;

/** What a moment is played with. */
export class Scene extends Disposable {
	readonly backend = new RawBackend();
	readonly callers: RawCaller[] = [];
	readonly watch = this._register(new ConnectionWatch());
	private readonly _owned = this._register(new DisposableStore());
	private _listener: Listener | undefined;

	get listener(): Listener {
		return this._listener!;
	}

	async open(openListener: OpenListener): Promise<void> {
		this._listener = await openListener(this._owned, await this.backend.start(this._owned, this.watch));
	}

	async caller(): Promise<RawCaller> {
		const caller = this._owned.add(new RawCaller(this.listener.port, this.watch));
		this.callers.push(caller);
		return caller.opened();
	}

	/** Head of a call; the empty line that ends it comes with the last header. */
	head(method: string, name: string, ...headers: string[]): string {
		return [`${method} ${this.listener.prefix}${name} HTTP/1.1`, 'host: one.example', `request-id: ${name}`, ...headers, '', ''].join('\r\n');
	}

	/** A call at the backend server; undefined if the VM ends before it is there. */
	async at(name: string): Promise<BackendCall | undefined> {
		return this.backend.call(name, this.listener.isOver);
	}

	async answer(name: string): Promise<void> {
		const call = await this.at(name);
		await call?.answer();
	}
}

/** One moment. An outcome is all answers on a connection, and what ran of the calls on it. */
export type Moment = {
	readonly title: string;
	/** Brings a call to the moment, stops the VM and goes on with the call. */
	readonly play: (scene: Scene) => Promise<void>;
	readonly allowed: readonly string[];
	/** It matters which answer says `connection: close`, since calls come behind it. */
	readonly isCloseTold?: true;
};

/** What came of the calls on one connection; names of calls on connections of one moment differ by a number. */
function outcomeOf({answers}: RawCaller, ran: readonly string[], index: number): string {
	const isAlone = ran.every(name => !name.includes('_'));
	const own = isAlone ? ran : ran.filter(name => name.endsWith(`_${index}`));
	return [answers.join('; '), '|', 'ran', ...own].join(' ').replaceAll(new RegExp(String.raw`_${index}\b`, 'gv'), '');
}

/** Plays one moment; tells outcomes that are not among those allowed, and how connections ended. */
async function playMoment({play, allowed, isCloseTold}: Moment, openListener: OpenListener): Promise<readonly string[]> {
	const scene = new Scene();
	try {
		await scene.open(openListener);
		await play(scene);
		await scene.listener.finish();
		await holds(() => scene.callers.every(({end}) => end !== 'open') && scene.backend.openConnections === 0);
		const outcomes = scene.callers.map((caller, index) => {
			const outcome = outcomeOf(caller, scene.backend.ran, index);
			return {outcome: isCloseTold ? outcome : outcome.replaceAll(', close', ''), end: caller.end};
		});
		return outcomes.filter(({outcome}) => !allowed.includes(outcome)).map(({outcome, end}) => `${outcome} (${end})`);
	} finally {
		scene.dispose();
	}
}

/** Moments that are played side by side: most of a stop is waiting, and one process has its limits. */
const lanes = 6;

/** Begins to play all moments; what is not allowed of each comes by its title. */
export function playMoments(moments: readonly Moment[], openListener: OpenListener, outcomes: Map<string, Promise<readonly string[]>>): void {
	const played: Array<Promise<readonly string[]>> = [];
	const playBehind = async (before: ReadonlyArray<Promise<unknown>>, moment: Moment) => {
		await Promise.allSettled(before);
		return playMoment(moment, openListener);
	};

	for (const [index, moment] of moments.entries()) {
		played.push(playBehind(index < lanes ? [] : [played[index - lanes]!], moment));
		outcomes.set(moment.title, played[index]!);
	}

	// A moment that throws before its test awaits it is no unhandled rejection.
	void Promise.allSettled(played);
}
