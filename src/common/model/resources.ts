/**
 * Resources that operators declare. Types are inferred from the schemas, so the API's checks and the types in the code
 * cannot diverge.
 */
import * as z from 'zod';

/** A name: lower-case letters, digits and dashes, 1 to 63 characters (RFC 1123 label). */
export const nameSchema = z.string().regex(
	/^[a-z\d](?:[a-z\d\-]{0,61}[a-z\d])?$/v,
	'1 to 63 lower-case letters, digits and dashes, no dash at either end',
);

/** Settings and budget of measuring calls, which probe a backend server's load. The budget applies to each backend server across the whole fleet. */
export const measuringSchema = z.strictObject({
	/** Maximum number of measuring calls that one backend server receives from all VMs together in any window. */
	callsPerWindow: z.int().min(0).max(100_000).default(240),
	/** Length of the sliding window in milliseconds. */
	windowMilliseconds: z.int().min(1000).max(600_000).default(10_000),
	/**
	 * 0 = as few measuring calls as possible, 1 = the full budget, for the best tail latency. The usable share of the budget
	 * grows linearly between the two.
	 */
	tailWeight: z.number().min(0).max(1).default(1),
	/**
	 * `paced` = at regular intervals, within the budget share that each VM has claimed. `on-demand` = a few candidates before
	 * each attempt, for load that changes faster than the intervals; the budget is then divided evenly among the VMs.
	 */
	mode: z.enum(['paced', 'on-demand']).default('paced'),
	/** Path of the load endpoint on the backend servers. */
	path: z.string().regex(/^\/[\u0021-\u007E]*$/v, 'a path such as /load').default('/load'),
});

/** A service: a set of backend servers and the rules for calls to them. */
export const serviceSchema = z.strictObject({
	kind: z.literal('service'),
	name: nameSchema,
	/** Time-out of a call whose caller sets no deadline, in milliseconds. */
	timeoutMilliseconds: z.int().min(1).max(3_600_000).default(5000),
	/** Methods that may be retried after a failure; by default the idempotent methods of RFC 9110, 9.2.2, without TRACE. */
	idempotentMethods: z.array(z.string()).default(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE']),
	/** Whether a call with an Idempotency-Key claims the key in the platform's service before it runs. */
	claimsIdempotencyKeys: z.boolean().default(false),
	/** Priority from 0 (lowest) to 9 (highest). When several services compete for the same backend servers, calls of the lowest priority are refused first. */
	priority: z.int().min(0).max(9).default(5),
	/** Maximum number of queued calls of this service on one VM. */
	queueLimit: z.int().min(0).max(100_000).default(200),
	/** Maximum retries and hedges as a share of this service's calls on each VM. */
	retryShare: z.number().min(0).max(1).default(0.1),
	/** Service-level objective used by the burn report. */
	objective: z.strictObject({
		/** Share of calls that must succeed within the latency. */
		successShare: z.number().min(0).max(1).default(0.999),
		/** A call that takes longer counts as bad. */
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
	/** Number of calls that it runs concurrently. */
	slots: z.int().min(1).max(10_000).default(6),
	/** Maximum number of connections that it accepts from all VMs together. */
	connectionLimit: z.int().min(1).max(100_000).default(250),
	/** Time after its first appearance for which it is slower than usual, in milliseconds; undefined = the call engine's estimate. */
	warmingMilliseconds: z.number().min(0).max(3_600_000).optional(),
	/** Set by the operator to drain it: no new calls, calls in flight finish. */
	isLeaving: z.boolean().default(false),
});

/** A rule that limits one caller's share of a VM and the use of other data centres. */
export const sharingRuleSchema = z.strictObject({
	kind: z.literal('sharing-rule'),
	name: nameSchema,
	service: nameSchema,
	/** Maximum share of a VM's queue and concurrency for the service that one caller may hold while other callers wait. */
	callerShare: z.number().min(0.01).max(1).default(0.5),
	/** Load of the local data centre (0 to 1) above which calls overflow to other data centres. */
	overflowAt: z.number().min(0).max(1).default(0.8),
});

/**
 * An organisation: a customer that identifies itself by a key. If any organisation is declared, calls without the key of one
 * are refused.
 */
export const organisationSchema = z.strictObject({
	kind: z.literal('organisation'),
	name: nameSchema,
	/** SHA-256 digests of its keys in lower-case hex. Keys themselves are not stored. */
	keyDigests: z.array(z.string().regex(/^[\da-f]{64}$/v, 'a SHA-256 digest: 64 digits of lower-case hex')).max(100).default([]),
	/** Priority of its calls; 0 = most urgent; undefined = none of its own. */
	priority: z.int().min(0).max(9).optional(),
	/** Calls per second of all VMs together; undefined = no limit. Rejected in a fleet that coordinates itself, which cannot enforce it. */
	callsPerSecond: z.number().positive().max(1_000_000).optional(),
	/** Calls beyond the rate that may come at once; only with `callsPerSecond`, where undefined means 0. */
	burst: z.number().min(0).max(1_000_000).optional(),
});

export const resourceSchema = z.discriminatedUnion('kind', [serviceSchema, backendServerSchema, sharingRuleSchema, organisationSchema]);

export type Service = z.infer<typeof serviceSchema>;
export type BackendServer = z.infer<typeof backendServerSchema>;
export type SharingRule = z.infer<typeof sharingRuleSchema>;
export type Organisation = z.infer<typeof organisationSchema>;
export type Resource = z.infer<typeof resourceSchema>;
export type ResourceKind = Resource['kind'];

/** All kinds of resources. */
export const resourceKinds = ['service', 'backend-server', 'sharing-rule', 'organisation'] as const satisfies readonly ResourceKind[];

/** Unique key of a resource: `KIND/NAME`. */
export type ResourceKey = `${ResourceKind}/${string}`;

export function resourceKey(resource: {kind: ResourceKind; name: string}): ResourceKey {
	return `${resource.kind}/${resource.name}`;
}

/**
 * Metadata that the system adds to a resource. A resource that is deleted and created again under the same name gets a new
 * `identity`, so that reports, leaving signs and watches of the old one never apply to the new one.
 */
export const resourceMetadataSchema = z.strictObject({
	/** 128 random bits in base64url, generated at creation. */
	identity: z.string().length(22),
	/** Configuration version that created the resource. */
	createdAt: z.int().min(1),
	/** Configuration version of the resource's latest change; compare-and-swap is checked against it. */
	version: z.int().min(1),
	/** Increases with each change of the resource. */
	generation: z.int().min(1),
});
export type ResourceMetadata = z.infer<typeof resourceMetadataSchema>;

/** A resource in force, with its metadata. */
export const storedResourceSchema = z.strictObject({resource: resourceSchema, metadata: resourceMetadataSchema});
export type StoredResource = z.infer<typeof storedResourceSchema>;
