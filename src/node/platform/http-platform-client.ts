/** HTTP client of the platform's service: `POST /kv` executes an operation, `GET /vms` returns the list of VMs. */
import {Agent} from 'undici';
import {z} from 'zod';
import {Disposable, toDisposable} from '../../common/lifecycle/disposable.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {type ListedVm, type StoreOperation, type StoreReply} from '../../common/platform/types.ts';
import {type PlatformClient} from '../fleet/types.ts';

/** Time added to the duration of a watch for its answer to arrive. */
const watchGraceMilliseconds = 2000;

const connectTimeoutMilliseconds = 1000;

/** Maximum number of connections. Each watch occupies one while it waits; the others serve concurrent requests. */
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

/** Error codes which prove that no connection was established, so that no byte of the request was sent. */
const unsentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT']);

function isRead(operation: StoreOperation): boolean {
	return operation.type === 'get' || operation.type === 'list' || operation.type === 'watch';
}

/** Sets an absent `entry` to undefined, which JSON cannot represent. */
function toReply(parsed: z.infer<typeof replySchema>): StoreReply {
	if (parsed.type === 'entry') {
		return {type: 'entry', entry: parsed.entry, revision: parsed.revision};
	}

	return parsed.type === 'conflict' ? {type: 'conflict', entry: parsed.entry} : parsed;
}

export class HttpPlatformClient extends Disposable implements PlatformClient {
	private readonly _agent: Agent;

	/**
	 * @param _baseUrl URL of the service, such as `http://127.0.0.1:7000`
	 * @param _timeoutMilliseconds milliseconds after which an answer counts as lost; for a watch its duration is added
	 */
	constructor(private readonly _baseUrl: string, private readonly _timeoutMilliseconds: Milliseconds) {
		super();
		// No pipelining, so that a broken connection loses the answer of one operation only.
		this._agent = new Agent({pipelining: 1, connections, connect: {timeout: connectTimeoutMilliseconds}});
		this._register(toDisposable(() => {
			void this._agent.destroy();
		}));
	}

	async execute(operation: StoreOperation): Promise<StoreReply> {
		const headTimeoutMilliseconds = operation.type === 'watch' ? operation.milliseconds + watchGraceMilliseconds : this._timeoutMilliseconds;
		try {
			const {statusCode, body} = await this._agent.request({
				origin: this._baseUrl,
				path: '/kv',
				method: 'POST',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify(operation),
				headersTimeout: headTimeoutMilliseconds,
				bodyTimeout: this._timeoutMilliseconds,
				signal: AbortSignal.timeout(headTimeoutMilliseconds + this._timeoutMilliseconds),
			});
			const parsed = replySchema.safeParse(await body.json());
			if (parsed.success && (statusCode === 200 || parsed.data.type === 'unavailable')) {
				return toReply(parsed.data);
			}

			return this._replyToLostAnswer(operation);
		} catch (error) {
			const code = errorCodeSchema.safeParse(error);
			return code.success && unsentCodes.has(code.data.code) ? {type: 'unavailable'} : this._replyToLostAnswer(operation);
		}
	}

	async listVms(): Promise<readonly ListedVm[] | undefined> {
		try {
			const {statusCode, body} = await this._agent.request({
				origin: this._baseUrl, path: '/vms', method: 'GET', headersTimeout: this._timeoutMilliseconds, bodyTimeout: this._timeoutMilliseconds,
			});
			const parsed = listSchema.safeParse(await body.json());
			return statusCode === 200 && parsed.success ? parsed.data : undefined;
		} catch {
			return undefined;
		}
	}

	/** Returns the reply for a request that was sent but whose answer is missing or incomplete. A write may have taken effect; a read has no effect. */
	private _replyToLostAnswer(operation: StoreOperation): StoreReply {
		return isRead(operation) ? {type: 'unavailable'} : {type: 'unknown'};
	}
}
