/** Why a call is refused that is quarantined or held back. */
import {type Instant} from '../../model/units.ts';
import {type Call} from '../call.ts';
import {type RefusalReason} from '../types.ts';
import {type PoisonRequestDetector} from './poison-request-detector.ts';

/**
 * A final verdict ends the caller's retries. Before it is final the caller may try again, unless the call has run: the
 * status of `suspected` declares that it has not.
 */
export function suspectReason(poisonRequests: PoisonRequestDetector, {request: {fingerprint}, mayHaveRun}: Call, now: Instant): RefusalReason {
	if (poisonRequests.isQuarantined(fingerprint, now) && !poisonRequests.isSettling(fingerprint, now)) {
		return 'quarantined';
	}

	return mayHaveRun ? 'outcome-unknown' : 'suspected';
}
