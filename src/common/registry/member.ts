/** State that a registrar keeps for each VM that it registers. */
import {type Instant} from '../model/units.ts';
import {type StorePosition} from '../platform/store-position.ts';

/** State of a member's entry. */
export type MemberState
	/** The entry has to be written. */
	= | 'wanted'
	/** The entry is in the store under this VM's lease. */
		| 'kept'
	/** The member's stream has closed or it has announced a turn; another VM may write the entry. */
		| 'turning'
	/** The entry has to be removed. */
		| 'leaving';

/** A VM that is registered here. */
export type Member = {
	readonly identity: string;
	value: string;
	state: MemberState;
	/**
	 * Bounds of the revision of this VM's own write: later than `previousRevision`, and at most `writtenRevision`. A
	 * store that counts each key of a transaction replies with the revision of the last key, so that this entry's own
	 * revision may be lower.
	 */
	previousRevision: StorePosition;
	writtenRevision: StorePosition | undefined;
	/** Position that the next write expects, where it is known better than from the store's changes. */
	expectedRevision: StorePosition | undefined;
	lastSeenAt: Instant;
	/** The entry is removed then, unless another VM has written it. */
	graceEndsAt: Instant;
	/** The member has announced that it leaves: its entry is removed even if another VM wrote it last. */
	hasAnnouncedLeave: boolean;
	/** A probe of the member is pending. */
	isProbePending: boolean;
};
