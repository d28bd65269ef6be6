/** An operator who asks once and notes exactly what it is told. */
import {request} from 'undici';
import {z} from 'zod';
import {type Resource} from '../../common/model/resources.ts';
import {exampleToken} from '../../demo/vm-settings.ts';
import {type HistoryEvent} from '../oracle/types.ts';

export type OperatorAnswer
	= | {readonly type: 'accepted'; readonly version: number}
	/** Told that nothing took effect. */
		| {readonly type: 'refused'}
	/** Told that it is not known, or got no answer. */
		| {readonly type: 'unknown'};

const acceptedSchema = z.object({version: z.int()});
const listSchema = z.object({version: z.int(), items: z.array(z.unknown())});
const historySchema = z.object({records: z.array(z.object({version: z.int(), operation: z.string()}))});
const storedSchema = z.object({metadata: z.object({version: z.int()})});
const problemSchema = z.object({type: z.string()});
const limitMilliseconds = 15_000;

export class ProofOperator {
	private readonly _origin: string;

	constructor(port: number) {
		this._origin = `http://127.0.0.1:${port}`;
	}

	async change(operation: string, resources: readonly Resource[], expected?: number): Promise<OperatorAnswer> {
		const answer = await this._ask('POST', '/v1/changes', JSON.stringify({
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
		const answer = await this._ask('GET', `/v1/resources/service/${name}`);
		return storedSchema.parse(answer?.body).metadata.version;
	}

	/** What the VM acts on and by which changes, as its resource API shows it. */
	async show(vm: string): Promise<HistoryEvent[]> {
		const listed = await this._ask('GET', '/v1/resources');
		const told = await this._ask('GET', '/v1/history?limit=20');
		const list = listSchema.safeParse(listed?.body);
		const past = historySchema.safeParse(told?.body);
		const at = performance.now();
		return [
			...(list.success
				? [{
					type: 'vm-acts-on' as const, at, vm, version: list.data.version, content: JSON.stringify(list.data.items),
				}]
				: []),
			...(past.success
				? past.data.records.map(({version, operation}) => ({
					type: 'version-seen' as const, at, vm, version, change: operation,
				}))
				: []),
		];
	}

	private async _ask(method: 'GET' | 'POST', path: string, body?: string): Promise<{status: number; body: unknown} | undefined> {
		try {
			const answer = await request(`${this._origin}${path}`, {
				method,
				headers: {authorization: `Bearer ${exampleToken}`, ...(body !== undefined && {'content-type': 'application/json'})},
				...(body !== undefined && {body}),
				signal: AbortSignal.timeout(limitMilliseconds),
			});
			return {status: answer.statusCode, body: await answer.body.json()};
		} catch {
			return undefined;
		}
	}
}
