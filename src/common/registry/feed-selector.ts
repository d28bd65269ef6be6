/** Decides whether this VM reads the store itself or takes the registry feed of another VM, and of which. */
import chart from '../../../charts/feed-selector.json' with {type: 'json'};
import {type PeerAddress} from '../fleet/types.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {chartTable} from './chart-table.ts';
import {type RegistryContext} from './registry-context.ts';
import {type VmRanks} from './vm-directory.ts';

type State = keyof typeof chart.states;
type Event = 'FRESH' | 'LOST' | 'OVERDUE' | 'PROMOTED';

const table = chartTable<State>(chart);

/**
 * Parts of the time within which a change must be in force at which a VM acts on a feed that has grown old. A reader
 * pauses 0.4 of that time between two looks, each takes 0.15 at most, and it publishes after each: a feed is 0.55 old at
 * most while all is well. The stand-by acts first, so that those who turn to it find it fresh: a reader that dies then
 * costs one call and not one of each VM. What is left after the last step is for the store's answer and for slow VMs.
 */
const standbyPart = 0.65;
const switchPart = 0.7;
const readPart = 0.75;

/** A VM that follows one that is not its first choice looks this often whether that one is back. */
const returnMilliseconds: Milliseconds = 4000;

/** A VM that is no reader any more reads on for this long: longer than others take to turn to its successor. */
const retiringMilliseconds: Milliseconds = 5000;

/** A VM that accepts the connection answers at once; longer, and it is frozen, cut off, or gone. */
const helloMilliseconds: Milliseconds = 300;

/**
 * While reading itself, a VM tries one other VM after another. The pauses grow: in a fleet that has just started the others
 * are there a moment later, and each VM that still reads by then costs a call.
 */
const firstTryMilliseconds: Milliseconds = 100;
const longestTryMilliseconds: Milliseconds = 700;

/** What the choice tells its surroundings. */
export type FeedSelectorListener = {
	/** Read the store from now on, or leave it to others. */
	onRead(isReading: boolean): void;
	/** Take the feed of this VM; undefined = of none. */
	onFollow(source: PeerAddress | undefined): void;
	/** Others go by what this VM reads, and it keeps their entries: it reads on until they have turned to another one. */
	hasMembers(): boolean;
};

/**
 * A VM or two of each data centre read the store, since each call to it is paid for; the others get changes from them
 * within milliseconds. Each VM goes by the age of what it knows alone, so a reader that is dead, frozen, cut off, slow or
 * rejected by the store is left in time, and in the end each VM reads the store itself.
 */
export class FeedSelector {
	private readonly _context: RegistryContext;
	private readonly _ranks: () => VmRanks;
	private readonly _listener: FeedSelectorListener;
	private _state: State = 'reading';
	private _source: PeerAddress | undefined;
	private _turn = 0;
	/** VMs that were lost since one had a fresh feed. */
	private _losses = 0;
	private _hasStarted = false;
	private _hasBeenFresh = false;
	/** The VM that is followed has said something. */
	private _hasSpoken = false;
	private _tryPause = firstTryMilliseconds;
	/** Other VMs may still go by what this one reads. */
	private _readsUntil: Instant = Number.NEGATIVE_INFINITY;
	/** When the store was in the state that this VM knows. */
	private _freshAt: Instant = Number.NEGATIVE_INFINITY;

	constructor(context: RegistryContext, ranks: () => VmRanks, listener: FeedSelectorListener) {
		this._context = context;
		this._ranks = ranks;
		this._listener = listener;
	}

	get isReading(): boolean {
		return this._state === 'reading';
	}

	/** VM whose feed is taken now. */
	get source(): PeerAddress | undefined {
		return this._source;
	}

	/** Some VM has had a fresh feed since the start. */
	get hasBeenFresh(): boolean {
		return this._hasBeenFresh;
	}

	/** VM whose feed is fresh and spares this one the store; undefined = there is none. */
	get freshSource(): PeerAddress | undefined {
		return this._state === 'following' ? this._source : undefined;
	}

	/** Other VMs may be tried from now on. `isSeed` = others begin with this one, and it reads for them until they know more. */
	start(isSeed: boolean): void {
		this._hasStarted = true;
		this._readsUntil = isSeed ? this._context.now + retiringMilliseconds : Number.NEGATIVE_INFINITY;
		this._tryNext();
	}

	/**
	 * The VMs are others: this one may have become a reader, or its source may have ceased to be one. While a fleet starts
	 * readers change many times a second. Guards against followers that lose one reader after the other then: who has read
	 * for others reads on for some seconds, and who follows stays for some.
	 */
	review(): void {
		const {isReader, sources} = this._ranks();
		if (isReader) {
			this._turn = 0;
			this._readsUntil = Number.POSITIVE_INFINITY;
			this._send('PROMOTED');
			this._follow(undefined);
			return;
		}

		if (this._readsUntil === Number.POSITIVE_INFINITY) {
			this._readsUntil = this._context.now + retiringMilliseconds;
		}

		if (this._source !== undefined && !sources.includes(this._source)) {
			this._turn = sources.length;
			this._planReturn();
		} else if (this._state === 'reading' && this._source === undefined) {
			this._tryNext();
		}
	}

	/** The store itself has answered. */
	noteRead(): void {
		this._freshAt = this._context.now;
	}

	/** A frame of the feed has come: it tells of the store as it was this long ago. */
	noteFrame(age: Milliseconds): void {
		this._hasSpoken = true;
		this._freshAt = Math.max(this._freshAt, this._context.now - age);
		if (age < this._limit(switchPart) && this._mayStopReading()) {
			this._losses = 0;
			this._hasBeenFresh = true;
			this._readsUntil = Number.NEGATIVE_INFINITY;
			this._tryPause = firstTryMilliseconds;
			this._send('FRESH');
			this._watchAge();
			this._planReturn();
		}
	}

	/**
	 * Who reads for others reads on for some seconds, in which they turn to the one that tells this VM. Without an end to
	 * that, VMs that follow one another in a row would all read. No VM relies on one that ranks after it: two stand-bys that
	 * rely on each other would take turns at reading, each of them too short for what it has read to be settled.
	 */
	private _mayStopReading(): boolean {
		if (this._source === undefined || this._ranks().juniors.has(this._source)) {
			return false;
		}

		if (this._state === 'reading' && this._readsUntil === Number.NEGATIVE_INFINITY && this._listener.hasMembers()) {
			this._readsUntil = this._context.now + retiringMilliseconds;
		}

		return this._context.now >= this._readsUntil;
	}

	/** The VM that is followed has closed the connection, or could not be reached. */
	noteEnded(source: PeerAddress): void {
		if (source === this._source) {
			// The same one may be tried again: that is then another connection.
			this._follow(undefined);
			this._lose();
		}
	}

	/**
	 * Guards against going round among VMs that are all gone, for instance when most of a fleet loses power: each refuses
	 * at once, a thousand connections a second. Once all have been tried, this VM reads itself and tries one now and then.
	 */
	private _lose(): void {
		this._send('LOST');
		this._turn += 1;
		this._losses += 1;
		const {isStandby, sources} = this._ranks();
		if (isStandby || this._losses > sources.length) {
			this._send('OVERDUE');
		}

		if (this._state === 'reading') {
			this._follow(undefined);
			this._planTry();
		} else {
			this._tryNext();
		}
	}

	/** Follows the VM whose turn it is, and gives it a moment to say something. */
	private _tryNext(): void {
		const {isReader, sources} = this._ranks();
		if (!this._hasStarted || isReader || sources.length === 0) {
			this._follow(undefined);
			this._send('OVERDUE');
			this._planTry();
			return;
		}

		this._turn %= sources.length;
		this._follow(sources[this._turn]);
		this._context.timers.set('feed-hello', this._context.now + helloMilliseconds, () => {
			if (this._state === 'switching' || (this._state === 'following' && !this._hasSpoken)) {
				this._lose();
			}
		});
		this._planTry();
	}

	/** A VM that reads for itself goes on looking for one that spares it the calls. */
	private _planTry(): void {
		this._context.timers.set('feed-try', this._context.now + this._tryPause, () => {
			if (this._state === 'reading') {
				this._turn += 1;
				this._tryPause = Math.min(longestTryMilliseconds, this._tryPause * 2);
				this._tryNext();
			}
		});
	}

	/** A feed from the own data centre costs nothing on the way, and the first choice has the widest link. */
	private _planReturn(): void {
		if (this._turn === 0 || this._context.timers.has('feed-return')) {
			return;
		}

		this._context.timers.set('feed-return', this._context.now + returnMilliseconds, () => {
			if (this._state === 'following' && this._turn > 0) {
				this._turn = 0;
				this._tryNext();
			}
		});
	}

	private _watchAge(): void {
		const {isStandby} = this._ranks();
		this._context.timers.set('feed-age', this._freshAt + this._limit(isStandby ? standbyPart : switchPart), () => {
			if (isStandby) {
				this._send('OVERDUE');
			} else if (this._state === 'following') {
				this._lose();
			}
		});
		this._context.timers.set('feed-overdue', this._freshAt + this._limit(readPart), () => {
			this._send('OVERDUE');
		});
	}

	private _follow(source: PeerAddress | undefined): void {
		if (source !== this._source) {
			this._source = source;
			this._hasSpoken = false;
			this._context.log('debug', 'follows the registry feed of another VM', {source: source ?? '', state: this._state, turn: this._turn});
			this._listener.onFollow(source);
		}
	}

	private _limit(part: number): Milliseconds {
		return part * this._context.settings.convergeMilliseconds;
	}

	private _send(event: Event): void {
		const before = this._state;
		this._state = table.get(before)?.get(event) ?? before;
		if (this._state === before) {
			return;
		}

		if (this._state === 'reading' || before === 'reading') {
			this._context.log('info', this._state === 'reading' ? 'reads the store itself' : 'relies on the registry feed of another VM', {
				source: this._source ?? '', feedAgeMilliseconds: Math.round(this._context.now - this._freshAt), cause: event,
			});
			this._listener.onRead(this._state === 'reading');
		}

		if (this._state === 'reading') {
			this._planTry();
		}
	}
}
