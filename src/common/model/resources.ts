/**
 * The resources that operators declare. Every type is inferred from its schema, so what the API
 * checks and what the code reads cannot drift apart.
 */
import * as z from 'zod';

/** A name: lower-case letters, digits and dashes, 1 to 63 characters (RFC 1123 label). */
export const nameSchema = z.string().regex(
	/^[a-z\d](?:[a-z\d\-]{0,61}[a-z\d])?$/v,
	'1 to 63 lower-case letters, digits and dashes, no dash at either end',
);

/** Measuring: what the operator allows to be spent on each backend server by the whole fleet. */
export const measuringSchema = z.strictObject({
	/** Measuring calls that one backend server may get from all VMs together in any window. */
	callsPerWindow: z.int().min(0).max(100_000).default(240),
	/** Length of the sliding window in milliseconds. */
	windowMilliseconds: z.int().min(1000).max(600_000).default(10_000),
	/**
	 * 0 = measure as little as possible, 1 = spend the budget for the best tail latency. Between the
	 * two the share of the budget that may be spent grows linearly.
	 */
	tailWeight: z.number().min(0).max(1).default(1),
	/**
	 * `paced` = by the clock, in shares that VMs claim. `on-demand` = a few candidates before each attempt, for load
	 * that shifts faster than any clock could follow; the budget is then split evenly over the VMs.
	 */
	mode: z.enum(['paced', 'on-demand']).default('paced'),
	/** Path of the load endpoint at the backend servers. */
	path: z.string().regex(/^\/[\u0021-\u007E]*$/v, 'a path such as /load').default('/load'),
});

/** A service: a set of backend servers and the rules for calls to it. */
export const serviceSchema = z.strictObject({
	kind: z.literal('service'),
	name: nameSchema,
	/** Milliseconds a call may take when its caller names no deadline. */
	timeoutMilliseconds: z.int().min(1).max(3_600_000).default(5000),
	/** Methods that may be sent again after a failure (RFC 9110, 9.2.2, unless the operator narrows it). */
	idempotentMethods: z.array(z.string()).default(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']),
	/** Calls with an Idempotency-Key claim it in the platform's service before they run. */
	claimsIdempotencyKeys: z.boolean().default(false),
	/** 0 (least) to 9 (most): who is refused first when several services want the same backend servers. */
	priority: z.int().min(0).max(9).default(5),
	/** Most calls of this service waiting on one VM. */
	queueLimit: z.int().min(0).max(100_000).default(200),
	/** Retries and hedges allowed as a share of this service's own calls on each VM. */
	retryShare: z.number().min(0).max(1).default(0.1),
	/** Objective for the report on service-level burn. */
	objective: z.strictObject({
		/** Share of calls that must succeed in time. */
		successShare: z.number().min(0).max(1).default(0.999),
		/** A call slower than this counts against the objective. */
		latencyMilliseconds: z.number().positive().default(250),
	}).prefault({}),
	measuring: measuringSchema.prefault({}),
});

/** A backend server: one address that serves calls of one service. */
export const backendServerSchema = z.strictObject({
	kind: z.literal('backend-server'),
	name: nameSchema,
	service: nameSchema,
	/** IP number and port. */
	address: z.union([z.ipv4(), z.ipv6()], 'an IP number such as 10.0.0.1 or fd00::1'),
	port: z.int().min(1).max(65_535),
	dataCentre: nameSchema,
	/** Calls that it runs at once. */
	slots: z.int().min(1).max(10_000).default(6),
	/** Connections it accepts from all VMs together. */
	connectionLimit: z.int().min(1).max(100_000).default(250),
	/** Milliseconds from its first appearance in which it is slower than usual; undefined = the engine's own guess. */
	warmingMilliseconds: z.number().min(0).max(3_600_000).optional(),
	/** The operator's order to leave: no new work, calls in flight finish. */
	isLeaving: z.boolean().default(false),
});

/** A rule for sharing work: what one caller may take, and how far work may travel. */
export const sharingRuleSchema = z.strictObject({
	kind: z.literal('sharing-rule'),
	name: nameSchema,
	service: nameSchema,
	/** Most of a VM's queue and concurrency for the service that one caller may hold while others wait. */
	callerShare: z.number().min(0.01).max(1).default(0.5),
	/** Load of the local data centre (0 to 1) above which calls begin to go elsewhere. */
	overflowAt: z.number().min(0).max(1).default(0.8),
});

/** Any declared resource. */
export const resourceSchema = z.discriminatedUnion('kind', [serviceSchema, backendServerSchema, sharingRuleSchema]);

export type Service = z.infer<typeof serviceSchema>;
export type BackendServer = z.infer<typeof backendServerSchema>;
export type SharingRule = z.infer<typeof sharingRuleSchema>;
export type Resource = z.infer<typeof resourceSchema>;
export type ResourceKind = Resource['kind'];

/** Names a resource among all: kind and name. */
export type ResourceKey = `${ResourceKind}/${string}`;

/** The key of a resource. */
export function resourceKey(resource: {kind: ResourceKind; name: string}): ResourceKey {
	return `${resource.kind}/${resource.name}`;
}

/**
 * What the system adds to a resource. `identity` is new when a resource is deleted and made again
 * under its name, so that reports, signs of leaving and watches of the old one never bind the new one.
 */
export const resourceMetadataSchema = z.strictObject({
	/** 128 random bits in base64url, made at creation. */
	identity: z.string().length(22),
	/** Configuration version at which it was created. */
	createdAt: z.int().min(1),
	/** Configuration version of its latest change: what compare-and-swap is checked against. */
	version: z.int().min(1),
	/** Grows with each change of this resource. */
	generation: z.int().min(1),
});
export type ResourceMetadata = z.infer<typeof resourceMetadataSchema>;

/** A resource as it is in force. */
export const storedResourceSchema = z.strictObject({resource: resourceSchema, metadata: resourceMetadataSchema});
export type StoredResource = z.infer<typeof storedResourceSchema>;
