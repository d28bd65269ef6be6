/** Keeps up with the store: one list at the start, then one watch after another. */
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type Revision, type StoreEntry, type StoreReply} from '../platform/types.ts';
import {type RegistryContext} from './registry-context.ts';

/** A watch without news ends after this time, so that a connection that has gone silent is noticed. */
const watchMilliseconds: Milliseconds = 2000;

/**
 * The same while the store does not answer. A watch that is sent to a silent store hangs until its time is over, also
 * when the store is back meanwhile: with the usual time a change made just after the outage came seconds too late.
 */
const lostWatchMilliseconds: Milliseconds = 50;

/** First pause after a request that failed; it doubles up to the longest. */
const firstRetry: Milliseconds = 300;

/** Longest pause: a store that is back must be heard of within a second. */
const longestRetry: Milliseconds = 600;

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
	onLost(): void;
};

export class StoreMirror {
	private readonly _context: RegistryContext;
	private readonly _listener: MirrorListener;
	private _revision: Revision | undefined;
	private _lastContact: Instant;
	private _isLost = false;
	private _retry = firstRetry;

	constructor(context: RegistryContext, listener: MirrorListener) {
		this._context = context;
		this._listener = listener;
		this._lastContact = context.now;
	}

	/** Time since the store last answered; undefined before its first answer. */
	contactAge(now: Instant): Milliseconds | undefined {
		return this._revision === undefined ? undefined : now - this._lastContact;
	}

	get isWatching(): boolean {
		return this._revision !== undefined && !this._isLost;
	}

	start(): void {
		this._lastContact = this._context.now;
		this._read();
	}

	private _read(): void {
		if (this._revision === undefined) {
			this._context.ask({type: 'list', prefix: this._context.settings.layout.commonPrefix}, reply => {
				this._takeList(reply);
			});
			return;
		}

		this._context.ask({
			type: 'watch', prefix: this._context.settings.layout.commonPrefix, after: this._revision, milliseconds: this._isLost ? lostWatchMilliseconds : watchMilliseconds,
		}, reply => {
			this._takeWatch(reply);
		});
	}

	private _takeList(reply: StoreReply): void {
		if (reply.type !== 'entries') {
			this._fail(reply);
			return;
		}

		this._touch();
		this._revision = reply.revision;
		this._listener.onChanges({entries: reply.entries, deleted: [], isWhole: true});
		this._readAfter(this._context.settings.watchPauseMilliseconds);
	}

	private _takeWatch(reply: StoreReply): void {
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

		this._readAfter(this._context.settings.watchPauseMilliseconds);
	}

	private _touch(): void {
		const silence = this._context.now - this._lastContact;
		this._lastContact = this._context.now;
		this._retry = firstRetry;
		if (this._isLost) {
			this._isLost = false;
			this._context.log('info', 'the store answers again', {silenceMilliseconds: Math.round(silence)});
			this._listener.onRegained(silence);
		}
	}

	private _fail(reply: StoreReply): void {
		if (!this._isLost) {
			this._isLost = true;
			this._context.log('warn', 'the store does not answer; what is known stays in force', {reply: reply.type});
			this._listener.onLost();
		}

		this._readAfter(this._retry);
		this._retry = Math.min(longestRetry, this._retry * 2);
	}

	private _readAfter(pause: Milliseconds): void {
		this._context.timers.set('mirror', this._context.now + pause, () => {
			this._read();
		});
	}
}
