/** Publishes the store entries known to this VM, and their changes, to the VMs that follow it. */
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type StorePosition} from '../platform/store-position.ts';
import {type ChangeLog} from './change-log.ts';
import {type RegistryContext} from './registry-context.ts';
import {type FeedFrame} from './types.ts';

/**
 * Age of data that this VM has not read from the store itself: above any limit, but still a finite number for the wire
 * format.
 */
const unknownAgeMilliseconds: Milliseconds = 1e9;

/** Access to the state of the VM. */
export type FeedPublisherOptions = {
	/** Whether this VM reads the store itself. */
	readonly isReading: () => boolean;
	/** Position up to which everything is known; undefined = nothing is known. */
	readonly revision: () => StorePosition | undefined;
	/** Time since the last reply of the store; undefined before the first. */
	readonly contactAge: (now: Instant) => Milliseconds | undefined;
};

export class FeedPublisher {
	private readonly _context: RegistryContext;
	private readonly _log: ChangeLog;
	private readonly _options: FeedPublisherOptions;
	/** The store has replied since the last frame. */
	private _hasRead = false;
	/** Followers have missed changes, since this VM followed another one and published nothing. */
	private _mustPublishSnapshot = false;

	constructor(context: RegistryContext, log: ChangeLog, options: FeedPublisherOptions) {
		this._context = context;
		this._log = log;
		this._options = options;
	}

	/** Called when the store has replied. */
	onStoreRead(): void {
		this._hasRead = true;
	}

	/**
	 * Followers need all entries: this VM starts to read the store itself, or has read it after it was restored from a
	 * backup.
	 */
	requireSnapshot(): void {
		this._mustPublishSnapshot = true;
	}

	/** A frame with all known entries. */
	snapshot(now: Instant): FeedFrame {
		return {
			...this._header(now), entries: [...this._log.entries], deleted: [], isWhole: true,
		};
	}

	/**
	 * Publishes the changes. After a store read without changes a frame without entries is published, since followers
	 * check the age of their data. Only data read from the store by this VM is published, so that VMs which follow each
	 * other in a circle do not receive their own changes back as new ones.
	 */
	publish(): void {
		if (this._options.isReading() && this._options.revision() === undefined) {
			// Without a position followers ignore the changes; they are published after the list in progress.
			return;
		}

		const changes = this._log.takeChanges();
		const hasChanges = changes !== undefined || this._hasRead;
		this._hasRead = false;
		if (!hasChanges || !this._options.isReading()) {
			return;
		}

		// Followers that connected while this VM followed another one lack the changes of that time.
		const isWhole = this._mustPublishSnapshot;
		this._mustPublishSnapshot = false;
		const {now} = this._context;
		this._context.emit({
			type: 'publish-feed', frame: isWhole
				? this.snapshot(now)
				: {
					...this._header(now), entries: [], deleted: [], ...changes, isWhole: false,
				},
		});
	}

	private _header(now: Instant): Pick<FeedFrame, 'revision' | 'ageMilliseconds'> {
		const {isReading, revision, contactAge} = this._options;
		return {revision: revision() ?? 0, ageMilliseconds: isReading() ? contactAge(now) ?? unknownAgeMilliseconds : unknownAgeMilliseconds};
	}
}
