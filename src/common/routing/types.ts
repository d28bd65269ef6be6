/** Routes: which calls go to which services, and by which rules. */
import {type CallRule} from '../calls/types.ts';
import {type Milliseconds} from '../model/units.ts';

/** A part of a split. */
export type SplitPart = {
	readonly service: string;
	/** Share of the route's calls, relative to the other parts. */
	readonly weight: number;
};

/** One route. */
export type Route = {
	readonly name: string;
	/** Host of the calls, in lower case and without a port. */
	readonly host: string;
	/** Beginning of their paths; begins and ends with a slash. */
	readonly prefix: string;
	/** One service, or several that share the calls by weight. */
	readonly parts: readonly SplitPart[];
	readonly rule: CallRule;
};

/** What callers may send, and how long they may take. */
export type CallerLimits = {
	readonly headBytes: number;
	readonly bodyBytes: number;
	/** Time for a whole head to come in. */
	readonly headMilliseconds: Milliseconds;
	/** How long an idle connection is kept. */
	readonly idleMilliseconds: Milliseconds;
};

/** All routes in force, with the limits that go with them. */
export type Routing = {
	readonly routes: readonly Route[];
	readonly limits: CallerLimits;
};
