/** An operator who sends each request once, without retries, and reports the exact answer. */
import {request} from 'undici';
import {z} from 'zod';
import {type Resource} from '../../common/model/resources.ts';
import {exampleToken} from '../../demo/vm-settings.ts';
import {type HistoryEvent} from '../oracle/types.ts';

export type OperatorAnswer
	= | {readonly type: 'accepted'; readonly version: number}
	/** The answer says that the change did not take effect. */
		| {readonly type: 'refused'}
	/** The answer says that the outcome is unknown, or there was no answer. */
		| {readonly type: 'unknown'};

const acceptedSchema = z.object({version: z.int()});
const listSchema = z.object({version: z.int(), items: z.array(z.unknown())});
const historySchema = z.object({records: z.array(z.object({version: z.int(), operation: z.string()}))});
const storedSchema = z.object({metadata: z.object({version: z.int()})});
const problemSchema = z.object({type: z.string()});
const requestTimeoutMilliseconds = 15_000;

export class ProofOperator {
	private readonly _origin: string;

	constructor(port: number) {
		this._origin = `http://127.0.0.1:${port}`;
	}

	async change(operation: string, resources: readonly Resource[], expected?: number): Promise<OperatorAnswer> {
		const answer = await this._request('POST', '/v1/changes', JSON.stringify({
			operation, note: 'proof', mutations: resources.map(resource => ({type: 'put', resource, ...(expected !== undefined && {expected})})),
		}));
		const accepted = acceptedSchema.safeParse(answer?.body);
		if (answer?.status === 200 && accepted.success) {
			return {type: 'accepted', version: accepted.data.version};
		}

		const problem = problemSchema.safeParse(answer?.body);
		return problem.success && !problem.data.type.includes('unknown') ? {type: 'refused'} : {type: 'unknown'};
	}

	/** Version of a service resource. */
	async serviceVersion(name: string): Promise<number> {
		const answer = await this._request('GET', `/v1/resources/service/${name}`);
		return storedSchema.parse(answer?.body).metadata.version;
	}

	/** Configuration and change history of the VM, as its operator API returns them, as events of the oracle. */
	async readState(vm: string): Promise<HistoryEvent[]> {
		const listed = await this._request('GET', '/v1/resources');
		const historyAnswer = await this._request('GET', '/v1/history?limit=20');
		const list = listSchema.safeParse(listed?.body);
		const history = historySchema.safeParse(historyAnswer?.body);
		const at = performance.now();
		return [
			...(list.success
				? [{
					type: 'vm-acts-on' as const, at, vm, version: list.data.version, content: JSON.stringify(list.data.items),
				}]
				: []),
			...(history.success
				? history.data.records.map(({version, operation}) => ({
					type: 'version-seen' as const, at, vm, version, change: operation,
				}))
				: []),
		];
	}

	private async _request(method: 'GET' | 'POST', path: string, body?: string): Promise<{status: number; body: unknown} | undefined> {
		try {
			const answer = await request(`${this._origin}${path}`, {
				method,
				headers: {authorization: `Bearer ${exampleToken}`, ...(body !== undefined && {'content-type': 'application/json'})},
				...(body !== undefined && {body}),
				signal: AbortSignal.timeout(requestTimeoutMilliseconds),
			});
			return {status: answer.statusCode, body: await answer.body.json()};
		} catch {
			return undefined;
		}
	}
}
