/** Organisations: customers that identify themselves by a key, with the priority and the rate limit of their calls. */

/** Rate limit of an organisation over all VMs together. */
export type OrganisationLimit = {
	readonly callsPerSecond: number;
	/** Calls beyond the rate that may come at once. */
	readonly burst: number;
};

/** What the call path needs to know of an organisation. */
export type OrganisationInForce = {
	readonly name: string;
	/** Takes precedence over the priority of a route; 0 = most urgent; undefined = the route's applies. */
	readonly priority?: number;
	/** Undefined = no limit. */
	readonly limit?: OrganisationLimit;
};
