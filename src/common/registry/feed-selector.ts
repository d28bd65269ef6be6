/** Decides whether this VM reads the store itself or follows the registry feed of another VM, and of which one. */
import chart from '../../../charts/feed-selector.json' with {type: 'json'};
import {type PeerAddress} from '../fleet/types.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {chartTable} from '../state/chart-table.ts';
import {type RegistryContext} from './registry-context.ts';
import {type VmRanks} from './vm-directory.ts';

type State = keyof typeof chart.states;
type Event = 'FRESH' | 'LOST' | 'OVERDUE' | 'PROMOTED';

const table = chartTable<State>(chart);

/**
 * Ages of the feed's data at which a VM acts, as fractions of the convergence time: first the standby reads the store
 * itself, then followers switch to another source, and finally they read the store themselves. A reader pauses for 0.4
 * of that time between two watches, each watch takes at most 0.15, and the reader publishes after each: without faults
 * the data is at most 0.55 old. The standby acts first, so that the VMs that switch to it find fresh data; a lost
 * reader then costs one store call, not one per VM. The time after the last step is left for the store's reply and for
 * slow VMs.
 */
const standbyAgeFraction = 0.65;
const switchAgeFraction = 0.7;
const readAgeFraction = 0.75;

/** Interval at which a VM that follows a less preferred source tries the preferred one again. */
const preferredSourceRetryMilliseconds: Milliseconds = 4000;

/**
 * Time for which a VM that is no longer a reader keeps reading; longer than its followers need to switch to its
 * successor.
 */
const readerHandoverMilliseconds: Milliseconds = 5000;

/**
 * A source that serves sends its first frame at once after it accepts the connection. One that sends nothing for this
 * long is frozen, unreachable or gone.
 */
const firstFrameTimeoutMilliseconds: Milliseconds = 300;

/**
 * Bounds of the pause between attempts to find a source while this VM reads the store itself. The pause doubles up to
 * the maximum: in a fleet that has just started the other VMs become available a moment later, and each VM that still
 * reads by then costs a store call.
 */
const minSourceRetryMilliseconds: Milliseconds = 100;
const maxSourceRetryMilliseconds: Milliseconds = 700;

/** Callbacks of the selector. */
export type FeedSelectorListener = {
	/** This VM starts to read the store, or stops. */
	onReadingChanged(isReading: boolean): void;
	/** This VM follows the feed of `source`; undefined = of no VM. */
	onSourceChanged(source: PeerAddress | undefined): void;
	/**
	 * Whether this VM registers other VMs, which follow its feed. It keeps reading until they have switched to another
	 * source.
	 */
	hasMembers(): boolean;
};

/**
 * Since each store call is paid for, only one or two VMs of each data centre read the store; the others receive changes
 * from them within milliseconds. Each VM decides by the age of its data alone. It therefore leaves a reader that is
 * dead, frozen, unreachable, slow or rejected by the store in time, and reads the store itself if no source is left.
 */
export class FeedSelector {
	private readonly _context: RegistryContext;
	private readonly _ranks: () => VmRanks;
	private readonly _listener: FeedSelectorListener;
	private _state: State = 'reading';
	private _source: PeerAddress | undefined;
	private _sourceIndex = 0;
	/** Sources lost since the last fresh feed. */
	private _lostSources = 0;
	private _hasStarted = false;
	private _hasHadFreshFeed = false;
	/** The current source has sent a frame. */
	private _hasReceivedFrame = false;
	private _retryPause = minSourceRetryMilliseconds;
	/** This VM does not stop reading before this time, since other VMs may still follow its feed. */
	private _readsUntil: Instant = Number.NEGATIVE_INFINITY;
	/** When the data of this VM was read from the store. */
	private _dataReadAt: Instant = Number.NEGATIVE_INFINITY;

	constructor(context: RegistryContext, ranks: () => VmRanks, listener: FeedSelectorListener) {
		this._context = context;
		this._ranks = ranks;
		this._listener = listener;
	}

	get isReading(): boolean {
		return this._state === 'reading';
	}

	/** VM whose feed is followed. */
	get source(): PeerAddress | undefined {
		return this._source;
	}

	/** A fresh feed has been received since the start. */
	get hasHadFreshFeed(): boolean {
		return this._hasHadFreshFeed;
	}

	/** VM whose fresh feed this VM uses in place of store reads; undefined = none. */
	get freshSource(): PeerAddress | undefined {
		return this._state === 'following' ? this._source : undefined;
	}

	/**
	 * Starts trying sources. A seed (`isSeed`) first reads the store for some seconds, since other VMs start by
	 * following it.
	 */
	start(isSeed: boolean): void {
		this._hasStarted = true;
		this._readsUntil = isSeed ? this._context.now + readerHandoverMilliseconds : Number.NEGATIVE_INFINITY;
		this._trySource();
	}

	/**
	 * Handles a change of the VM ranks: this VM may have become a reader, or its source may have ceased to be one. In a
	 * starting fleet the readers change many times a second. So that followers do not lose one reader after another, a
	 * former reader keeps reading for some seconds and a follower keeps its source for some seconds.
	 */
	onRanksChanged(): void {
		const {isReader, sources} = this._ranks();
		if (isReader) {
			this._sourceIndex = 0;
			this._readsUntil = Number.POSITIVE_INFINITY;
			this._send('PROMOTED');
			this._setSource(undefined);
			return;
		}

		if (this._readsUntil === Number.POSITIVE_INFINITY) {
			this._readsUntil = this._context.now + readerHandoverMilliseconds;
		}

		if (this._source !== undefined && !sources.includes(this._source)) {
			this._sourceIndex = sources.length;
			this._scheduleReturn();
		} else if (this._state === 'reading' && this._source === undefined) {
			this._trySource();
		}
	}

	/** Called when the store has replied to this VM. */
	onStoreRead(): void {
		this._dataReadAt = this._context.now;
	}

	/** Called for a frame of the feed, whose data was read from the store `age` milliseconds ago. */
	onFrame(age: Milliseconds): void {
		this._hasReceivedFrame = true;
		this._dataReadAt = Math.max(this._dataReadAt, this._context.now - age);
		if (age < this._maxAge(switchAgeFraction) && this._mayStopReading()) {
			this._lostSources = 0;
			this._hasHadFreshFeed = true;
			this._readsUntil = Number.NEGATIVE_INFINITY;
			this._retryPause = minSourceRetryMilliseconds;
			this._send('FRESH');
			this._scheduleAgeChecks();
			this._scheduleReturn();
		}
	}

	/**
	 * A VM that reads for others keeps reading for some seconds, in which its followers switch to its source. The time
	 * is limited, as otherwise all VMs of a chain of followers would read. No VM stops reading in favour of a
	 * lower-ranked one: two standbys that follow each other would alternate as readers, each for too short a time to
	 * decide whether VMs with missing entries are lost.
	 */
	private _mayStopReading(): boolean {
		if (this._source === undefined || this._ranks().lowerRanked.has(this._source)) {
			return false;
		}

		if (this._state === 'reading' && this._readsUntil === Number.NEGATIVE_INFINITY && this._listener.hasMembers()) {
			this._readsUntil = this._context.now + readerHandoverMilliseconds;
		}

		return this._context.now >= this._readsUntil;
	}

	/** Called when the source has closed the connection or could not be reached. */
	onSourceClosed(source: PeerAddress): void {
		if (source === this._source) {
			// Resets the source first: if the same one is tried again, that is a new connection.
			this._setSource(undefined);
			this._handleSourceLost();
		}
	}

	/**
	 * Switches to the next source. Once all sources have failed, this VM reads the store itself and tries one source at
	 * intervals. Guards against a loop over sources that are all gone, for instance when most of a fleet loses power:
	 * each would refuse at once, at a thousand connections a second.
	 */
	private _handleSourceLost(): void {
		this._send('LOST');
		this._sourceIndex += 1;
		this._lostSources += 1;
		const {isStandby, sources} = this._ranks();
		if (isStandby || this._lostSources > sources.length) {
			this._send('OVERDUE');
		}

		if (this._state === 'reading') {
			this._setSource(undefined);
			this._scheduleRetry();
		} else {
			this._trySource();
		}
	}

	/** Follows the source at the current index, and leaves it if its first frame does not arrive in time. */
	private _trySource(): void {
		const {isReader, sources} = this._ranks();
		if (!this._hasStarted || isReader || sources.length === 0) {
			this._setSource(undefined);
			this._send('OVERDUE');
			this._scheduleRetry();
			return;
		}

		this._sourceIndex %= sources.length;
		this._setSource(sources[this._sourceIndex]);
		this._context.timers.set('feed-hello', this._context.now + firstFrameTimeoutMilliseconds, () => {
			if (this._state === 'switching' || (this._state === 'following' && !this._hasReceivedFrame)) {
				this._handleSourceLost();
			}
		});
		this._scheduleRetry();
	}

	/** A VM that reads the store itself keeps looking for a source, which would save the calls. */
	private _scheduleRetry(): void {
		this._context.timers.set('feed-try', this._context.now + this._retryPause, () => {
			if (this._state === 'reading') {
				this._sourceIndex += 1;
				this._retryPause = Math.min(maxSourceRetryMilliseconds, this._retryPause * 2);
				this._trySource();
			}
		});
	}

	/**
	 * Schedules the return to the preferred source: a feed within the data centre has no transfer cost, and the
	 * preferred source has the fastest link.
	 */
	private _scheduleReturn(): void {
		if (this._sourceIndex === 0 || this._context.timers.has('feed-return')) {
			return;
		}

		this._context.timers.set('feed-return', this._context.now + preferredSourceRetryMilliseconds, () => {
			if (this._state === 'following' && this._sourceIndex > 0) {
				this._sourceIndex = 0;
				this._trySource();
			}
		});
	}

	private _scheduleAgeChecks(): void {
		const {isStandby} = this._ranks();
		this._context.timers.set('feed-age', this._dataReadAt + this._maxAge(isStandby ? standbyAgeFraction : switchAgeFraction), () => {
			if (isStandby) {
				this._send('OVERDUE');
			} else if (this._state === 'following') {
				this._handleSourceLost();
			}
		});
		this._context.timers.set('feed-overdue', this._dataReadAt + this._maxAge(readAgeFraction), () => {
			this._send('OVERDUE');
		});
	}

	private _setSource(source: PeerAddress | undefined): void {
		if (source !== this._source) {
			this._source = source;
			this._hasReceivedFrame = false;
			this._context.log('debug', 'source of the registry feed changed', {source: source ?? '', state: this._state, turn: this._sourceIndex});
			this._listener.onSourceChanged(source);
		}
	}

	private _maxAge(fraction: number): Milliseconds {
		return fraction * this._context.settings.convergeMilliseconds;
	}

	private _send(event: Event): void {
		const before = this._state;
		this._state = table.get(before)?.get(event) ?? before;
		if (this._state === before) {
			return;
		}

		if (this._state === 'reading' || before === 'reading') {
			this._context.log('info', this._state === 'reading' ? 'reads the store itself' : 'relies on the registry feed of another VM', {
				source: this._source ?? '', feedAgeMilliseconds: Math.round(this._context.now - this._dataReadAt), cause: event,
			});
			this._listener.onReadingChanged(this._state === 'reading');
		}

		if (this._state === 'reading') {
			this._scheduleRetry();
		}
	}
}
