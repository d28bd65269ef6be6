/** What this VM sends to those that follow it: the store's entries as it knows them, and what has changed. */
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type Revision} from '../platform/types.ts';
import {type ChangeLog} from './change-log.ts';
import {type RegistryContext} from './registry-context.ts';
import {type FeedFrame} from './types.ts';

/** Age of what was not read in the store here: older than any limit, and a number on every wire. */
const unknownAge: Milliseconds = 1e9;

/** What the publisher asks its surroundings. */
export type FeedPublisherOptions = {
	/** This VM reads the store itself. */
	readonly isReading: () => boolean;
	/** Revision up to which everything is known; undefined = nothing is. */
	readonly revision: () => Revision | undefined;
	/** Time since the store last answered; undefined before its first answer. */
	readonly contactAge: (now: Instant) => Milliseconds | undefined;
};

export class FeedPublisher {
	private readonly _context: RegistryContext;
	private readonly _log: ChangeLog;
	private readonly _options: FeedPublisherOptions;
	/** This VM has read the store since the last frame. */
	private _hasRead = false;
	/** Followers have missed changes: this VM followed another one itself, and published nothing. */
	private _mustPublishAll = false;

	constructor(context: RegistryContext, log: ChangeLog, options: FeedPublisherOptions) {
		this._context = context;
		this._log = log;
		this._options = options;
	}

	/** The store has answered. */
	noteRead(): void {
		this._hasRead = true;
	}

	/** This VM reads the store itself from now on. */
	noteReading(): void {
		this._mustPublishAll = true;
	}

	/** Everything that is known here. */
	whole(now: Instant): FeedFrame {
		return {
			...this._head(now), entries: [...this._log.entries], deleted: [], isWhole: true,
		};
	}

	/**
	 * Publishes what has changed, and after each read of the store that nothing has: followers go by its age. Only what was
	 * read in the store itself is published, so that VMs which follow one another in a circle take no echo for a change.
	 */
	publish(): void {
		const changes = this._log.takeChanges();
		const hasChanges = changes !== undefined || this._hasRead;
		this._hasRead = false;
		if (!hasChanges || !this._options.isReading()) {
			return;
		}

		// Followers that came while this VM followed another one lack the changes of that time.
		const isWhole = this._mustPublishAll;
		this._mustPublishAll = false;
		const {now} = this._context;
		this._context.emit({
			type: 'publish-feed', frame: isWhole
				? this.whole(now)
				: {
					...this._head(now), entries: [], deleted: [], ...changes, isWhole: false,
				},
		});
	}

	private _head(now: Instant): Pick<FeedFrame, 'revision' | 'ageMilliseconds'> {
		const {isReading, revision, contactAge} = this._options;
		return {revision: revision() ?? 0, ageMilliseconds: isReading() ? contactAge(now) ?? unknownAge : unknownAge};
	}
}
