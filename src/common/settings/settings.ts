/**
 * Settings of one VM's daemon. Types, defaults, checks and the operators' reference are all derived from this schema.
 * These settings apply to one VM only; the configuration shared by the fleet is stored in the platform's service.
 */
import * as z from 'zod';
import {nameSchema} from '../model/resources.ts';

const addressSchema = z.union([z.ipv4(), z.ipv6()], 'an IP number such as 10.0.0.1 or fd00::1');
const portRange = 'a whole number from 1 to 65535';
const portSchema = z.int(portRange).min(1, portRange).max(65_535, portRange);
const endpointSchema = z.string().regex(
	/^(?:(?:\d{1,3}\.){3}\d{1,3}|\[[\da-f:]+\]):\d{1,5}$/v,
	'an IP number and port such as 10.0.0.2:7003 or [fd00::2]:7003',
);
const pathSchema = z.string().min(1, 'the path of a file');
const oneDay = 86_400_000;

const vmSchema = z.strictObject({
	name: nameSchema.describe('Name of this VM in tables and logs: lower-case letters, digits and dashes.'),
	dataCentre: nameSchema.describe('Data centre of this VM; calls stay in it while it has room.'),
	region: nameSchema.describe('Region of the data centre. Nothing is decided by it yet.'),
	address: addressSchema.describe('IP number by which callers and other VMs reach this VM.'),
});

const callersSchema = z.strictObject({
	address: addressSchema.default('0.0.0.0').describe('IP number to listen on for callers.'),
	port: portSchema.describe('Port for callers.'),
});

const operatorsSchema = z.strictObject({
	address: addressSchema.default('127.0.0.1').describe('IP number to listen on for operators. Loopback unless set: the API is plain HTTP.'),
	port: portSchema.describe('Port of the resource API.'),
	tokensFile: pathSchema.describe('File of the operators\' tokens, relative to the settings file.'),
});

const tlsSchema = z.strictObject({
	certificateFile: pathSchema.describe('PEM file of this VM\'s certificate.'),
	keyFile: pathSchema.describe('PEM file of its private key.'),
	authorityFile: pathSchema.describe('PEM file of the authority that signs all VMs\' certificates.'),
});

const peersSchema = z.strictObject({
	address: addressSchema.default('0.0.0.0').describe('IP number to listen on for other VMs.'),
	port: portSchema.describe('Port for other VMs (gRPC).'),
	plain: z.boolean().default(false).describe('True = no TLS between VMs. Only for one machine or a closed network.'),
	tls: tlsSchema.optional().describe('TLS files; needed unless plain = true.'),
	seeds: z.array(endpointSchema).default([]).describe('VMs to ask first, as address:port. The platform\'s list of VMs adds to them.'),
}).refine(hasEitherTlsOrPlain, {
	path: ['tls'],
	error: 'one of two: a [peers.tls] table, or plain = true',
	// Run also when another key of the table is invalid, so that all errors are reported at once.
	when: () => true,
});

/**
 * Returns true if the input has either a `tls` table or `plain = true`, not both. Runs on unchecked input; returns true for a
 * missing or malformed `peers` table, which the schema reports itself.
 */
function hasEitherTlsOrPlain(peers: unknown): boolean {
	if (typeof peers !== 'object' || peers === null) {
		return true;
	}

	const isPlain = 'plain' in peers && peers.plain === true;
	return isPlain !== ('tls' in peers && peers.tls !== undefined);
}

const platformSchema = z.strictObject({
	url: z.url({protocol: /^https?$/v, error: 'an address that begins with http:// or https://'}).describe('Address of the platform\'s service, http:// or https://.'),
	requestTimeoutMilliseconds: z.int().min(10).max(60_000).default(2000).describe('How long a request to it may take; later its outcome is unknown.'),
	pollMilliseconds: z.int().min(100).max(600_000).default(5000).describe('How often the list of VMs is read.'),
});

const sharesSchema = z.strictObject({
	slots: z.int().min(1).max(10_000).default(24)
		.describe('Parts into which the fleet\'s measuring budgets are cut; the same on all VMs. More than there are VMs, so that old and new VMs fit side by side.'),
	leaseMilliseconds: z.int().min(1000).max(600_000).default(15_000).describe('How long a claimed part stays a VM\'s own without renewal.'),
});

const limitsSchema = z.strictObject({
	headBytes: z.int().min(1024).max(1_048_576).default(16_384).describe('Largest head of a caller\'s request.'),
	bodyBytes: z.int().min(0).max(1_099_511_627_776).default(1_073_741_824).describe('Largest body of a caller\'s request.'),
	replayBytes: z.int().min(0).max(16_777_216).default(65_536).describe('A body up to this size is kept so that an idempotent call can be sent again.'),
	connections: z.int().min(1).max(1_000_000).default(10_000).describe('Most connections of callers to this VM.'),
	operatorBodyBytes: z.int().min(1024).max(16_777_216).default(4_194_304).describe('Largest body of a request to the resource API.'),
});

const logSchema = z.strictObject({
	level: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info').describe('Least important level that is written; `jaydale log-level` changes it while running.'),
	format: z.enum(['json', 'pretty']).default('json').describe('json = one object a line; pretty = for people.'),
});

const metricsSchema = z.strictObject({
	enabled: z.boolean().default(false).describe('False = no metrics are sent.'),
	host: addressSchema.default('127.0.0.1').describe('IP number of the StatsD server (UDP).'),
	port: portSchema.default(8125).describe('Port of the StatsD server.'),
	prefix: z.string().regex(/^(?:[a-z][a-z\d_]*\.)*$/v, 'lower-case words that each end with a dot').default('jaydale.').describe('Prefix of each metric\'s name; ends with a dot, or empty.'),
});

const answersSchema = z.strictObject({
	keepForMilliseconds: z.int().min(100).max(oneDay).default(5000).describe('How long callers may keep the answer to "which addresses"; a stopping VM serves on for at least as long.'),
});

/** The settings file of a daemon. */
export const settingsSchema = z.strictObject({
	vm: vmSchema,
	callers: callersSchema,
	operators: operatorsSchema,
	peers: peersSchema,
	platform: platformSchema,
	shares: sharesSchema.prefault({}),
	limits: limitsSchema.prefault({}),
	log: logSchema.prefault({}),
	metrics: metricsSchema.prefault({}),
	answers: answersSchema.prefault({}),
});

export type Settings = z.infer<typeof settingsSchema>;
export type LogLevel = Settings['log']['level'];

/** Permissions of an operator. */
export const roleSchema = z.enum(['read', 'write']);
export type OperatorRole = z.infer<typeof roleSchema>;

/** One operator in the tokens file. */
export const operatorTokenSchema = z.strictObject({
	name: nameSchema.describe('Who it is; stands in the history of changes.'),
	role: roleSchema.describe('read = look; write = look and change.'),
	token: z.string().min(20).max(512).describe('The secret, 20 characters or more.'),
});
export type OperatorToken = z.infer<typeof operatorTokenSchema>;

/** The tokens file: `[[operator]]` tables. */
export const tokensFileSchema = z.strictObject({
	operator: z.array(operatorTokenSchema).min(1),
});
