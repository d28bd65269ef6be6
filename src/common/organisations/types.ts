/** Organisations: customers that identify themselves by a key, with the priority and the rate limit of their calls. */

/** Rate limit of an organisation over all VMs together. */
export type OrganisationLimit = {
	readonly callsPerSecond: number;
	/** Calls beyond the rate that may come at once. */
	readonly burst: number;
};

/** Name of the organisation that owns a key, by the key's SHA-256 digest in lower-case hex. */
export type KeyOwners = ReadonlyMap<string, string>;

/** Returns the SHA-256 digest of a key in lower-case hex; `encoding` = how the characters of the text stand for bytes. */
export type KeyDigestFunction = (key: string, encoding: 'utf8' | 'latin1') => string;

/** What the call path needs to know of an organisation. */
export type OrganisationInForce = {
	readonly name: string;
	/** Takes precedence over the priority of a route; 0 = most urgent; undefined = the route's applies. */
	readonly priority?: number;
	/** Undefined = no limit. */
	readonly limit?: OrganisationLimit;
};
