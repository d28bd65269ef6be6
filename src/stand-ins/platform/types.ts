/** Faults, requests and counts in the HTTP interface of the platform's stand-in. */
import {z} from 'zod';

/** A `StoreOperation` (src/common/platform/types.ts) as JSON, without `write-all`. */
export const storeOperationSchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('get'), key: z.string()}),
	z.object({type: z.literal('list'), prefix: z.string()}),
	z.object({
		type: z.literal('compare-and-swap'), key: z.string(), expected: z.int().min(0), value: z.string(), leaseId: z.string().optional(),
	}),
	z.object({type: z.literal('delete'), key: z.string(), expected: z.int().min(0)}),
	z.object({type: z.literal('grant-lease'), milliseconds: z.number().positive()}),
	z.object({type: z.literal('keep-lease'), leaseId: z.string()}),
	z.object({type: z.literal('revoke-lease'), leaseId: z.string()}),
	z.object({
		type: z.literal('watch'), prefix: z.string(), after: z.int().min(0), milliseconds: z.number().min(0),
	}),
]);

/** Body of `POST /admin/faults`. Absent fields stay unchanged. */
export const platformFaultsSchema = z.strictObject({
	/** `down` closes the connection of every request without executing it; `refusing` responds with `unavailable`; `slow` delays. */
	mode: z.enum(['up', 'down', 'refusing', 'slow']).optional(),
	/** Delay of every request in the mode `slow`. */
	delayMilliseconds: z.number().min(0).optional(),
	/** Number of further successful writes whose connection is closed without a response. */
	loseAnswers: z.int().min(0).optional(),
	/** Serves reads from a copy that is made when this is switched on. */
	stale: z.boolean().optional(),
});
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

/** Body of `POST /admin/vms`: the current list, and the lag of the served list (0 if absent). */
export const platformVmsSchema = z.strictObject({
	vms: z.array(z.object({address: z.string(), dataCentre: z.string(), state: z.enum(['live', 'leaving'])})).optional(),
	lagMilliseconds: z.number().min(0).optional(),
});
export type PlatformVms = z.infer<typeof platformVmsSchema>;

/** Requests by type of operation; requests of the VM list count as `vms`. */
export type PlatformCounts = Record<string, number>;
