/** What a frame of the registry feed changes here. */
import {type PeerAddress} from '../fleet/types.ts';
import {type Revision, type StoreEntry} from '../platform/types.ts';
import {type ChangeLog} from './change-log.ts';
import {type FeedFrame, type StoreLayout} from './types.ts';

/** The part of a frame that is later than what is known here. */
export type FrameChanges = {
	readonly entries: readonly StoreEntry[];
	readonly deleted: readonly string[];
	/** It tells of the store as it is now, as far as its age says. */
	readonly isCurrent: boolean;
};

/**
 * VMs read the store at different moments, so a frame may be older than what this VM knows. Each key goes by its own revision;
 * a key that is unknown here though everything up to a later revision was known has been removed since.
 */
export class FeedFrames {
	private readonly _log: ChangeLog;
	private readonly _layout: StoreLayout;
	private readonly _isKeptHere: (key: string) => boolean;
	/** The VM that has sent a whole frame, which its further frames go on from. */
	private _wholeFrom: PeerAddress | undefined;

	/**
	 * `isKeptHere` = the entry is this VM's own, and written by it. Others may still hold it after it has lapsed; taken in
	 * from them, it would look as if it stood, and never be written again.
	 */
	constructor(log: ChangeLog, layout: StoreLayout, isKeptHere: (key: string) => boolean) {
		this._log = log;
		this._layout = layout;
		this._isKeptHere = isKeptHere;
	}

	/** Another VM is followed, or the same one on another connection. */
	reset(): void {
		this._wholeFrom = undefined;
	}

	/** `known` = revision up to which everything is known here. Undefined = the frame lacks the whole that it goes on from. */
	changesOf(source: PeerAddress, frame: FeedFrame, known: Revision): FrameChanges | undefined {
		const {revision, isWhole} = frame;
		const isFirst = this._wholeFrom !== source;
		if (isFirst && !isWhole) {
			return undefined;
		}

		this._wholeFrom = source;
		const isAhead = isWhole && revision >= known;
		const deleted = isWhole ? this._missingFrom(frame.entries) : frame.deleted;
		return {
			entries: frame.entries.filter(entry => this._isLater(entry, isAhead ? -1 : known)),
			deleted: deleted.filter(key => (this._log.revisionOf(key) ?? Infinity) <= revision),
			// What lies behind this VM's own knowledge has been under way for long, whatever its age says. The first frame of a
			// stream cannot have been.
			isCurrent: revision > 0 && (isFirst || revision >= known),
		};
	}

	private _isLater(entry: StoreEntry, known: Revision): boolean {
		return entry.revision > (this._log.revisionOf(entry.key) ?? known) && !this._isKeptHere(entry.key) && !this._log.isGone(entry);
	}

	private _missingFrom(entries: readonly StoreEntry[]): string[] {
		const there = new Set(entries.map(entry => entry.key));
		return Array.from(this._log.entries, entry => entry.key).filter(key => !there.has(key) && key !== this._layout.configurationKey);
	}
}
