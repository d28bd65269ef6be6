/** Faults, requests and counts of the platform's stand-in, as its HTTP interface takes and gives them. */
import {z} from 'zod';

/** The JSON of a `StoreOperation` (src/common/platform/types.ts). */
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

/** `POST /admin/faults`; what is left out stays as it is. */
export const platformFaultsSchema = z.strictObject({
	/** `down` cuts every call's connection with no effect, `refusing` answers `unavailable`, `slow` delays. */
	mode: z.enum(['up', 'down', 'refusing', 'slow']).optional(),
	/** Delay of every call in the mode `slow`. */
	delayMilliseconds: z.number().min(0).optional(),
	/** The next writes that take effect while their connection is cut without an answer. */
	loseAnswers: z.int().min(0).optional(),
	/** Reads answer from the copy that was taken when this was switched on. */
	stale: z.boolean().optional(),
});
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;

/** `POST /admin/vms`: the true list, and by how much the served one lags behind it. */
export const platformVmsSchema = z.strictObject({
	vms: z.array(z.object({address: z.string(), dataCentre: z.string(), state: z.enum(['live', 'leaving'])})).optional(),
	lagMilliseconds: z.number().min(0).optional(),
});
export type PlatformVms = z.infer<typeof platformVmsSchema>;

/** Calls by type; a waiting watch counts as one, the VM list as `vms`. */
export type PlatformCounts = Record<string, number>;
