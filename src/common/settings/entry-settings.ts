/**
 * Settings of an entry VM in a fleet that is coordinated through the platform's store. Types, defaults, checks and the
 * operators' reference are all derived from this schema.
 */
import * as z from 'zod';
import {defaultLeaseMilliseconds} from '../registry/vm-loss-budget.ts';

const endpointSchema = z.string().regex(
	/^(?:(?:\d{1,3}\.){3}\d{1,3}|\[[\da-f:]+\]):\d{1,5}$/v,
	'an IP number and port such as 10.0.0.2:7003 or [fd00::2]:7003',
);
/** Addresses that stand for all interfaces. Holders of limit slots are told apart by their endpoints. */
const unspecifiedAddressPattern = /^(?:0+\.0+\.0+\.0+|\[[0:]+\]):/v;

const textSchema = z.string().min(1).max(255);
const secondsSchema = z.number().positive().max(86_400);

const vmSchema = z.strictObject({
	name: textSchema.describe('Name of this VM in logs.'),
	dataCentre: textSchema.describe('Data centre of this VM; calls stay in it while it has room.'),
	linkMegabits: z.number().min(0).default(1000).describe('Width of its link; the VMs with the widest read the store for the others.'),
	memoryMegabytes: z.number().min(0).default(256).describe('Memory that the process may use; bounds what connections, bodies, messages of other VMs and buffered answers take. 0 = no limit is known: the bounds are those of the heap, and 72 MB.'),
	descriptors: z.number().min(0).default(4096).describe('Descriptors that the process may use; bounds the connections to all its listeners. 0 = no limit.'),
});

const listenSchema = z.strictObject({
	callers: endpointSchema.describe('Where callers reach this VM.'),
	readiness: endpointSchema.describe('Where the platform asks whether this VM is ready.'),
	directory: endpointSchema.describe('Where callers ask which VMs to use.'),
	peers: endpointSchema.describe('Where other VMs learn from this one what the store holds.'),
	metrics: endpointSchema.describe('The page of counters.'),
	limits: endpointSchema.refine(endpoint => !unspecifiedAddressPattern.test(endpoint), 'the address of this VM, by which others reach it').optional().describe('Where VMs exchange datagrams about rate limits of organisations (UDP, the same port on all VMs). Without it, calls of organisations with a limit are refused here.'),
});

const storeSchema = z.strictObject({
	address: endpointSchema.describe('The platform\'s key-value service.'),
	requestTimeoutSeconds: secondsSchema.default(2).describe('How long a request to it may take; later its outcome is unknown.'),
	convergeSeconds: secondsSchema.default(2)
		.describe('Time from the store\'s word that a change is accepted until it is in force on every VM. Sets how often the store is read, and how old a registry feed may be.'),
	heartbeatSeconds: secondsSchema.describe('How often backend servers renew their entries; after three such times without one they lapse.'),
	leaseSeconds: secondsSchema.default(defaultLeaseMilliseconds / 1000)
		.describe('Term of the lease on the entries that this VM registers: they outlive it for so long. VMs whose lease ends too early are asked before they count as gone.'),
});

const callsSchema = z.strictObject({
	measuringPerSecond: z.number().min(0).max(100_000).default(24).describe('Measuring calls that one backend server may get a second, from all VMs together.'),
	tailWeight: z.number().min(0).max(1).default(1).describe('0 = measure as little as possible, 1 = spend the budget for the best tail latency.'),
	retryShare: z.number().min(0).max(1000).default(0.1).describe('Retries and hedges allowed as a share of a service\'s calls, for all VMs together.'),
	retryBurst: z.number().min(0).max(1_000_000).default(60)
		.describe('Retries and hedges of a service beyond that share which all VMs together may make at once.'),
	warmUpTolerance: z.number().min(0.1).max(100).default(1)
		.describe('Calls a second that all VMs together send to a backend server while it warms up, as a multiple of what its service declares that it bears.'),
	heldAnswerBytes: z.int().min(0).max(16_777_216).default(262_144)
		.describe('Answers up to this size are held until they are whole, so that one that breaks off can be had elsewhere.'),
	replayBytes: z.int().min(0).max(16_777_216).default(65_536).describe('A body up to this size is kept so that the call can be sent again.'),
	connections: z.int().min(1).max(1_000_000).default(3000).describe('Most connections of callers to this VM; beyond it, idle ones are closed.'),
});

const directorySchema = z.strictObject({
	keepForSeconds: secondsSchema.default(2).describe('How long callers may keep the answer to "which addresses".'),
});

const stopSchema = z.strictObject({
	graceSeconds: z.number().min(0).max(86_400).default(5).describe('Time from the order to stop until the process is killed; 0 = the VM ends at once.'),
});

const logSchema = z.strictObject({
	level: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info').describe('Least important level that is written.'),
});

/** The settings file of an entry VM. */
export const entrySettingsSchema = z.strictObject({
	vm: vmSchema,
	listen: listenSchema,
	seeds: z.array(endpointSchema).default([]).describe('Peers endpoints of VMs to learn from at the start, until others are known. May be out of date.'),
	store: storeSchema,
	calls: callsSchema,
	directory: directorySchema.prefault({}),
	stop: stopSchema,
	log: logSchema.prefault({}),
});

export type EntrySettings = z.infer<typeof entrySettingsSchema>;
