/** The platform's service over HTTP: `POST /kv` with an operation, `GET /vms` for the list of VMs. */
import {Agent} from 'undici';
import {z} from 'zod';
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {type ListedVm, type StoreOperation, type StoreReply} from '../../common/platform/types.ts';
import {type PlatformClient} from '../fleet/types.ts';

/** Time beyond a watch's own in which its answer may come. */
const watchGraceMilliseconds = 2000;

const connectMilliseconds = 1000;

/** Watches hold a connection each while they wait; the rest is for everything else at once. */
const connections = 32;

const entrySchema = z.object({key: z.string(), value: z.string(), revision: z.int()});
const replySchema = z.discriminatedUnion('type', [
	z.object({type: z.literal('entry'), entry: entrySchema.optional(), revision: z.int()}),
	z.object({type: z.literal('entries'), entries: z.array(entrySchema), revision: z.int()}),
	z.object({type: z.literal('written'), revision: z.int()}),
	z.object({type: z.literal('conflict'), entry: entrySchema.optional()}),
	z.object({type: z.literal('lease'), leaseId: z.string(), milliseconds: z.number()}),
	z.object({type: z.literal('lease-lost')}),
	z.object({
		type: z.literal('changes'), entries: z.array(entrySchema), deleted: z.array(z.string()), revision: z.int(),
	}),
	z.object({type: z.literal('unavailable')}),
	z.object({type: z.literal('unknown')}),
]);
const listSchema = z.array(z.object({address: z.string(), dataCentre: z.string(), state: z.enum(['live', 'leaving'])}));

const errorCodeSchema = z.object({code: z.string()});

/** Codes that prove that no connection came about, so that no byte of the request left. */
const unsentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT']);

function isRead(operation: StoreOperation): boolean {
	return operation.type === 'get' || operation.type === 'list' || operation.type === 'watch';
}

/** JSON has no `undefined`: an absent entry is a member left out. */
function toReply(parsed: z.infer<typeof replySchema>): StoreReply {
	if (parsed.type === 'entry') {
		return {type: 'entry', entry: parsed.entry, revision: parsed.revision};
	}

	return parsed.type === 'conflict' ? {type: 'conflict', entry: parsed.entry} : parsed;
}

export class HttpPlatformClient extends Disposable implements PlatformClient {
	private readonly _agent: Agent;

	/**
	 * @param _base where the service is reached, such as `http://127.0.0.1:7000`
	 * @param _timeout milliseconds after which an answer counts as lost; a watch gets its own time besides
	 */
	constructor(private readonly _base: string, private readonly _timeout: Milliseconds) {
		super();
		// No pipelining: a lost answer must be the answer of one operation only.
		this._agent = new Agent({pipelining: 1, connections, connect: {timeout: connectMilliseconds}});
		this._register(toDisposable(() => {
			void this._agent.destroy();
		}));
	}

	async execute(operation: StoreOperation): Promise<StoreReply> {
		const limit = operation.type === 'watch' ? operation.milliseconds + watchGraceMilliseconds : this._timeout;
		try {
			const {statusCode, body} = await this._agent.request({
				origin: this._base,
				path: '/kv',
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify(operation),
				headersTimeout: limit,
				bodyTimeout: this._timeout,
				signal: AbortSignal.timeout(limit + this._timeout),
			});
			const parsed = replySchema.safeParse(await body.json());
			if (parsed.success && (statusCode === 200 || parsed.data.type === 'unavailable')) {
				return toReply(parsed.data);
			}

			return this._lost(operation);
		} catch (error) {
			const code = errorCodeSchema.safeParse(error);
			return code.success && unsentCodes.has(code.data.code) ? {type: 'unavailable'} : this._lost(operation);
		}
	}

	async listVms(): Promise<readonly ListedVm[] | undefined> {
		try {
			const {statusCode, body} = await this._agent.request({
				origin: this._base, path: '/vms', method: 'GET', headersTimeout: this._timeout, bodyTimeout: this._timeout,
			});
			const parsed = listSchema.safeParse(await body.json());
			return statusCode === 200 && parsed.success ? parsed.data : undefined;
		} catch {
			return undefined;
		}
	}

	/** The request left and its answer did not come whole: a write may have taken effect, a read had none to take. */
	private _lost(operation: StoreOperation): StoreReply {
		return isRead(operation) ? {type: 'unavailable'} : {type: 'unknown'};
	}
}
