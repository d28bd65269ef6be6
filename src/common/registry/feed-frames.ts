/** Determines what a frame of the registry feed changes on this VM. */
import {type PeerAddress} from '../fleet/types.ts';
import {type StoreEntry} from '../platform/types.ts';
import {
	eraOf, isLater, precedesRestore, type StoreEra, storePosition, type StorePosition,
} from '../platform/store-position.ts';
import {type ChangeLog} from './change-log.ts';
import {type FeedFrame, type StoreLayout} from './types.ts';

/** The part of a frame that is later than the entries known here. */
export type FrameChanges = {
	readonly entries: readonly StoreEntry[];
	readonly deleted: readonly string[];
	/**
	 * Keys that a snapshot lacks and that were last written before a restore of the store. The sender may never have
	 * known them.
	 */
	readonly lostByRestore: readonly string[];
	/** The frame shows the current state of the store, to the extent of its age. */
	readonly isCurrent: boolean;
};

/**
 * VMs read the store at different times, so a frame may be older than the entries known here. Each key is compared by
 * its own revision. A key that is unknown here, though this VM has everything up to a later revision, has been removed
 * since.
 */
export class FeedFrames {
	private readonly _log: ChangeLog;
	private readonly _layout: StoreLayout;
	private readonly _isSelfWritten: (key: string) => boolean;
	/** The VM that has sent a complete snapshot, which its later frames extend. */
	private _snapshotSource: PeerAddress | undefined;
	private _snapshotEra: StoreEra | undefined;

	/**
	 * `isSelfWritten` = the key is of this VM's own entry, and this VM writes it. Other VMs may still hold that entry
	 * after it has lapsed; if it were accepted from them, this VM would assume that it is still in the store and never
	 * write it again.
	 */
	constructor(log: ChangeLog, layout: StoreLayout, isSelfWritten: (key: string) => boolean) {
		this._log = log;
		this._layout = layout;
		this._isSelfWritten = isSelfWritten;
	}

	/** Called when another source is followed, or the same one on a new connection. */
	reset(): void {
		this._snapshotSource = undefined;
	}

	/**
	 * `knownRevision` = revision up to which this VM has everything. Undefined = the frame was not preceded by a
	 * snapshot.
	 */
	changesOf(source: PeerAddress, frame: FeedFrame, knownRevision: StorePosition): FrameChanges | undefined {
		const {revision, isWhole} = frame;
		const era = eraOf(revision);
		const isFirst = this._snapshotSource !== source;
		// Changes extend an empty snapshot, or one of their own era.
		if (!isWhole && (isFirst || (this._snapshotEra !== undefined && this._snapshotEra !== era))) {
			return undefined;
		}

		this._snapshotSource = source;
		this._snapshotEra = isLater(revision, 0) ? era : undefined;
		const isAtLeastKnown = !isLater(knownRevision, revision);
		const isAhead = isWhole && isAtLeastKnown;
		const removed = (isWhole ? this._missingFrom(frame.entries) : frame.deleted).filter(key => !isLater(this._log.revisionOf(key) ?? Infinity, revision));
		const mayBeLost = (key: string) => isWhole && precedesRestore(this._log.revisionOf(key)!, revision);
		return {
			entries: frame.entries.filter(entry => this._isLater(entry, isAhead ? -1 : knownRevision)),
			deleted: removed.filter(key => !mayBeLost(key)),
			lostByRestore: removed.filter(key => mayBeLost(key)),
			// A frame behind this VM's own revision was delayed for long, whatever its age field says. The first frame
			// of a stream cannot have been delayed.
			isCurrent: isLater(revision, 0) && (isFirst || isAtLeastKnown),
		};
	}

	/** The configuration has a version of its own, which decides whether it is later. */
	private _isLater(entry: StoreEntry, knownRevision: StorePosition): boolean {
		return entry.key === this._layout.configurationKey
			? entry.value !== this._log.valueOf(entry.key)
			: (isLater(entry.revision, this._log.revisionOf(entry.key) ?? knownRevision) && !this._isSelfWritten(entry.key) && !this._log.isRemoved(entry));
	}

	private _missingFrom(entries: readonly StoreEntry[]): string[] {
		const keys = new Set(entries.map(entry => entry.key));
		return Array.from(this._log.entries, entry => entry.key).filter(key => !keys.has(key) && key !== this._layout.configurationKey);
	}
}

/** Completes a frame of an earlier build, assuming that its revisions are of this era. */
export function frameInEra(frame: FeedFrame, era: StoreEra): FeedFrame {
	return {
		...frame,
		revision: storePosition(era, frame.revision),
		entries: frame.entries.map(entry => ({
			...entry, revision: storePosition(era, entry.revision), ...(entry.createdAt === undefined ? {} : {createdAt: storePosition(era, entry.createdAt)}),
		})),
	};
}
