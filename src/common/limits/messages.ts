/** Datagrams that VMs exchange about the rate limits of organisations and of backend servers: JSON, one message per datagram. */
import * as z from 'zod';

/** Number of slots that every limit is divided among. Fixed, so that the sum of all slots never depends on the size of the fleet. */
export const limitSlotCount = 3;

/** Maximum size of a datagram in bytes; fits an Ethernet frame with room for the headers of tunnels. */
export const maxDatagramBytes = 1200;

/** Maximum number of organisations in one message. */
export const maxOrganisationsPerMessage = 32;

const idSchema = z.int().min(0);
const slotSchema = z.int().min(0).max(limitSlotCount - 1);
const countSchema = z.int().min(0).max(1_000_000);
const organisationSchema = z.string().min(1).max(maxDatagramBytes);

/** A VM asks the holder of a slot for tokens, and returns those it did not use: organisation, tokens wanted, tokens returned. */
const askSchema = z.object({
	kind: z.literal('ask'),
	id: idSchema,
	slot: slotSchema,
	wants: z.array(z.tuple([organisationSchema, countSchema, countSchema])).max(maxOrganisationsPerMessage),
});

/**
 * Answer of the holder: organisation, tokens granted, and if these are fewer than wanted the milliseconds until a token is
 * expected, else 0.
 */
const grantSchema = z.object({
	kind: z.literal('grant'),
	id: idSchema,
	slot: slotSchema,
	grants: z.array(z.tuple([organisationSchema, countSchema, z.int().min(0)])).max(maxOrganisationsPerMessage),
});

/** Answer of a VM that has no right to grant tokens of the slot. Nothing was granted or taken back. */
const notHolderSchema = z.object({kind: z.literal('not-holder'), id: idSchema, slot: slotSchema});

/** Identity of a process of a backend server, as `processIdentityOf` forms it. */
const serverSchema = z.string().min(1).max(maxDatagramBytes / 4);

/**
 * A VM asks the holder of a slot for tokens of a backend server's rate limit. It names the limit as it was announced to this
 * VM, and the age of the announcement, so that the holder can go by the latest one.
 */
const serverAskSchema = z.object({
	kind: z.literal('server-ask'),
	id: idSchema,
	slot: slotSchema,
	server: serverSchema,
	callsPerSecond: z.number().positive(),
	ageMilliseconds: z.number().min(0),
	wanted: countSchema,
});

/** Answer to a `server-ask`: tokens granted; if there are none, the milliseconds until one is expected, else 0. */
const serverGrantSchema = z.object({
	kind: z.literal('server-grant'), id: idSchema, slot: slotSchema, granted: countSchema, retryAfter: z.int().min(0),
});

/** Schema of all messages, told apart by `kind`. */
export const limitMessageSchema = z.discriminatedUnion('kind', [askSchema, grantSchema, notHolderSchema, serverAskSchema, serverGrantSchema]);

export type LimitMessage = z.infer<typeof limitMessageSchema>;
export type Ask = z.infer<typeof askSchema>;
export type Grant = z.infer<typeof grantSchema>;
export type NotHolder = z.infer<typeof notHolderSchema>;
export type ServerAsk = z.infer<typeof serverAskSchema>;
export type ServerGrant = z.infer<typeof serverGrantSchema>;
