/** The platform as the daemon reaches it. Another client can take this one's place. */
import {type Result} from 'neverthrow';
import {type Failure} from '../../common/errors/failure.ts';
import {type ListedVm, type StoreOperation, type StoreReply} from '../../common/platform/types.ts';

export type PlatformFailureKind = 'list-unavailable' | 'malformed-list';

export type PlatformClient = {
	/** Carries one operation out. Never rejects: what went wrong is `unavailable` (no effect) or `unknown`. */
	execute(operation: StoreOperation): Promise<StoreReply>;
	/** The platform's list of VMs; it lags behind reality. */
	listVms(): Promise<Result<readonly ListedVm[], Failure<PlatformFailureKind>>>;
	dispose(): void;
};
