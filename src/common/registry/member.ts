/** What a registrar keeps of one VM that it registers. */
import {type Instant} from '../model/units.ts';
import {type Revision} from '../platform/types.ts';

/** What became of a member's entry. */
export type MemberState
	/** It is to be written. */
	= | 'wanted'
	/** It stands in the store under this VM's lease. */
		| 'kept'
	/** Its stream has ended: another VM may write it. */
		| 'turning'
	/** It is to be removed. */
		| 'leaving';

/** A VM that is registered here. */
export type Member = {
	readonly identity: string;
	value: string;
	state: MemberState;
	/**
	 * What this VM's own write of it followed, and the revision that it came to. A store that counts each key of a
	 * transaction tells the last one: the entry itself may have any between the two.
	 */
	before: Revision;
	written: Revision | undefined;
	/** Revision that the next write expects, if it is known better than from the store's changes. */
	expected: Revision | undefined;
	lastSeenAt: Instant;
	/** When its entry is removed, unless another VM has written it by then. */
	endsAt: Instant;
	/** It has said itself that it leaves: its entry goes, whoever wrote it last. */
	hasSaidSo: boolean;
	/** It is asked directly whether it serves. */
	isProbed: boolean;
};
