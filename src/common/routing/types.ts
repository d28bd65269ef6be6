/** Routes: which services receive which calls, and which rules apply to the calls. */
import {type CallRule} from '../calls/types.ts';
import {type Milliseconds} from '../model/units.ts';

/** One service of a weighted split. */
export type SplitPart = {
	readonly service: string;
	/** Weight relative to the other parts. */
	readonly weight: number;
};

export type Route = {
	readonly name: string;
	/** Host name in lower case, without a port. */
	readonly host: string;
	/** Path prefix; begins and ends with a slash. */
	readonly prefix: string;
	/** One service, or several that receive the calls in proportion to their weights. */
	readonly parts: readonly SplitPart[];
	readonly rule: CallRule;
	/** True if its calls need no key of an organisation; undefined = false. */
	readonly isPublic?: boolean;
};

/** Size and time limits for requests of callers. */
export type CallerLimits = {
	readonly headBytes: number;
	readonly bodyBytes: number;
	/** Timeout for receiving the complete request head. */
	readonly headMilliseconds: Milliseconds;
	/** Keep-alive timeout of an idle connection. */
	readonly idleMilliseconds: Milliseconds;
};

/** All active routes and the limits that apply to their callers. */
export type Routing = {
	readonly routes: readonly Route[];
	readonly limits: CallerLimits;
};
