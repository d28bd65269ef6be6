/** Keeps up with the store: one list at the start, then one watch after another. */
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type Revision, type StoreEntry, type StoreReply} from '../platform/types.ts';
import {type RegistryContext} from './registry-context.ts';

/**
 * Part of the time within which a change must be in force after which a watch without changes ends: until it does, nobody
 * knows whether its connection has gone silent.
 */
const watchPart = 0.15;

/**
 * The same while the store does not answer. A watch that is sent to a silent store hangs until its time is over, also
 * when the store is back meanwhile: with the usual time a change made just after the outage came seconds too late.
 */
const lostWatchMilliseconds: Milliseconds = 50;

/** First pause after a request that failed; it doubles up to the longest. */
const firstRetry: Milliseconds = 300;

/** Longest pause of a VM that reads for others: a store that is back must be heard of within a second. */
const longestRetry: Milliseconds = 600;

/** The same of a VM that nobody goes by. */
const longestRetryOfOthers: Milliseconds = 2000;

/**
 * Pause of a VM that is connected to another one, which asks the store and will tell it: while the store is out, the calls
 * of a whole fleet would be paid for nothing.
 */
const followerRetry: Milliseconds = 3000;

/**
 * Pause after a first list that may be old, before a watch brings the rest: most VMs have found another one by then that
 * tells them, which costs the store nothing.
 */
const catchUpMilliseconds: Milliseconds = 600;

/** Changes as they came in. */
export type MirrorChanges = {
	readonly entries: readonly StoreEntry[];
	readonly deleted: readonly string[];
	/** `entries` is all there is: what is not among them is gone. */
	readonly isWhole: boolean;
};

/** What is told of the store. */
export type MirrorListener = {
	onChanges(changes: MirrorChanges): void;
	/** The store answers again after `silence` milliseconds; called before the changes that it brings. */
	onRegained(silence: Milliseconds): void;
	/** The store has answered: what is known is as new as it gets. */
	onRead(): void;
	/** Whether other VMs go by what this one reads. */
	isReader(): boolean;
	/** Whether this VM is connected to another one, which tells what it reads. */
	isFollowing(): boolean;
	/** Whether other VMs begin with this one, so that it must know the latest at once. */
	isSeed(): boolean;
};

export class StoreMirror {
	private readonly _context: RegistryContext;
	private readonly _listener: MirrorListener;
	private _revision: Revision | undefined;
	private _lastContact: Instant;
	private _isLost = false;
	private _retry = firstRetry;
	private _isReading = true;
	private _isAsking = false;
	/** What is known up to the revision was told by another VM, in part: that one leaves out what means nothing new to it. */
	private _isTold = false;
	/** Only a list that may be old was read: nobody knows how old. */
	private _mayBeOld = false;
	private _hasListed = false;

	constructor(context: RegistryContext, listener: MirrorListener) {
		this._context = context;
		this._listener = listener;
		this._lastContact = context.now;
	}

	/** Time since the store last answered; undefined before its first answer. */
	contactAge(now: Instant): Milliseconds | undefined {
		return this._revision === undefined || this._mayBeOld ? undefined : now - this._lastContact;
	}

	get isWatching(): boolean {
		return this._revision !== undefined && !this._isLost;
	}

	/** Revision up to which everything is known; undefined = nothing is. */
	get revision(): Revision | undefined {
		return this._revision;
	}

	/** Reads on, or leaves it to another VM. An answer that is on its way is taken all the same. */
	setReading(isReading: boolean): void {
		if (this._isReading === isReading) {
			return;
		}

		this._isReading = isReading;
		if (isReading && !this._isAsking) {
			this._read();
		} else if (!isReading) {
			this._context.timers.clear('mirror');
		}
	}

	/**
	 * Another VM has told everything up to this revision; the store was in that state `age` milliseconds ago. Who reads
	 * itself goes on from its own revision: it must not pass over what the other left out, nor tell others as its own
	 * reading what it only heard.
	 */
	noteFrame(revision: Revision, age: Milliseconds): void {
		if (this._isReading && this._revision !== undefined) {
			return;
		}

		this._isTold ||= revision > (this._revision ?? 0);
		this._mayBeOld = false;
		this._revision = Math.max(this._revision ?? 0, revision);
		if (this._context.now - age > this._lastContact) {
			this._lastContact = this._context.now - age;
			this._retry = firstRetry;
			this._isLost = false;
		}
	}

	start(): void {
		this._lastContact = this._context.now;
		this._read();
	}

	private _read(): void {
		this._isAsking = true;
		if (this._revision === undefined) {
			// A list that may be old does for the first one, which is watched on from; it must not replace what was known before.
			const mayBeOld = !this._hasListed && !this._listener.isSeed();
			this._context.ask({type: 'list', prefix: this._context.settings.layout.commonPrefix, mayBeOld}, reply => {
				this._takeList(reply, mayBeOld);
			});
			return;
		}

		this._context.ask({
			type: 'watch',
			prefix: this._context.settings.layout.commonPrefix,
			after: this._revision,
			milliseconds: this._isLost ? lostWatchMilliseconds : watchPart * this._context.settings.convergeMilliseconds,
		}, reply => {
			this._takeWatch(reply);
		});
	}

	private _takeList(reply: StoreReply, mayBeOld: boolean): void {
		this._isAsking = false;
		if (reply.type !== 'entries') {
			this._fail(reply);
			return;
		}

		this._hasListed = true;
		if (mayBeOld) {
			this._takeOldList(reply);
			return;
		}

		this._touch();
		this._revision = reply.revision;
		this._isTold = false;
		this._listener.onChanges({entries: reply.entries, deleted: [], isWhole: true});
		this._readAfter(this._context.settings.watchPauseMilliseconds);
	}

	/**
	 * Guards followers against a feed that claims to be fresh: that the store answered says nothing of the age of what it
	 * said. Where another VM has told more meanwhile, the list is left out.
	 */
	private _takeOldList({entries, revision}: StoreReply & {type: 'entries'}): void {
		this._isLost = false;
		if (this._revision === undefined) {
			this._mayBeOld = true;
			this._revision = revision;
			this._listener.onChanges({entries, deleted: [], isWhole: true});
		}

		this._readAfter(catchUpMilliseconds);
	}

	private _takeWatch(reply: StoreReply): void {
		this._isAsking = false;
		if (reply.type === 'history-lost') {
			this._context.log('info', 'the store has dropped its history; everything is read again', {revision: this._revision ?? 0});
			this._revision = undefined;
			this._read();
			return;
		}

		if (reply.type !== 'changes') {
			this._fail(reply);
			return;
		}

		this._touch();
		// Guards against an old copy of the store: its revision lies behind what was already seen.
		if (reply.revision >= (this._revision ?? 0)) {
			this._revision = reply.revision;
			this._listener.onChanges({entries: reply.entries, deleted: reply.deleted, isWhole: false});
		}

		if (this._isTold && this._isReading) {
			this._readAnew();
			return;
		}

		this._readAfter(this._context.settings.watchPauseMilliseconds);
	}

	/**
	 * Guards a VM that reads on after it was told: an entry that lapsed and came back means nothing new to the VM that it followed,
	 * which does not publish it. Watched on from the told revision, this VM would never hear of it, and take out a backend server
	 * that lives for as long as that does not change. Everything is read once. Guards the store against the price of that, where
	 * hundreds lose their readers at once: a list that may be old does, unless it lies behind what was told.
	 */
	private _readAnew(): void {
		const told = this._revision ?? 0;
		this._isAsking = true;
		this._context.ask({type: 'list', prefix: this._context.settings.layout.commonPrefix, mayBeOld: true}, reply => {
			if (reply.type === 'entries' && reply.revision >= told) {
				this._takeList(reply, false);
				return;
			}

			this._isAsking = false;
			this._revision = undefined;
			this._readAfter(0);
		});
	}

	private _touch(): void {
		const silence = this._context.now - this._lastContact;
		this._mayBeOld = false;
		this._lastContact = this._context.now;
		this._retry = firstRetry;
		if (this._isLost) {
			this._isLost = false;
			this._context.log('info', 'the store answers again', {silenceMilliseconds: Math.round(silence)});
			this._listener.onRegained(silence);
		}

		this._listener.onRead();
	}

	private _fail(reply: StoreReply): void {
		if (!this._isLost) {
			this._isLost = true;
			this._context.log('warn', 'the store does not answer; what is known stays in force', {reply: reply.type});
		}

		this._readAfter(!this._listener.isReader() && this._listener.isFollowing() ? followerRetry : this._retry);
		this._retry = Math.min(this._listener.isReader() ? longestRetry : longestRetryOfOthers, this._retry * 2);
	}

	private _readAfter(pause: Milliseconds): void {
		if (!this._isReading) {
			return;
		}

		this._context.timers.set('mirror', this._context.now + pause, () => {
			this._read();
		});
	}
}
