/** Minimal client of the resource API. */
import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {err, ok, type Result} from 'neverthrow';
import {request} from 'undici';
import {z} from 'zod';
import {failure, type Failure} from '../common/errors/failure.ts';
import {type Resource} from '../common/model/resources.ts';

/** Why a change was not accepted. */
export type OperatorFailure = Failure<'refused' | 'no-answer'>;

const acceptedSchema = z.object({version: z.int()});
const listSchema = z.object({version: z.int()});
const retryMilliseconds = 100;

/** Sends requests to the operators' port of one VM. */
export class OperatorClient {
	private readonly _origin: string;
	private readonly _token: string;

	constructor(origin: string, token: string) {
		this._origin = origin;
		this._token = token;
	}

	/**
	 * Puts all resources in one change, and resolves with its version. The change is sent until its outcome is known, with the
	 * same operation id, so that it is made only once. Stops early if `isAlive` returns false.
	 */
	async putAll(resources: readonly Resource[], note: string, timeoutMilliseconds: number, isAlive: () => boolean): Promise<Result<number, OperatorFailure>> {
		const body = JSON.stringify({
			operation: randomUUID(), note, mutations: resources.map(resource => ({type: 'put', resource})),
		});
		const deadline = performance.now() + timeoutMilliseconds;
		let lastResponse = 'no answer';
		while (performance.now() < deadline && isAlive()) {
			const response = await this._send('POST', '/v1/changes', body);
			const accepted = acceptedSchema.safeParse(response?.body);
			if (response?.status === 200 && accepted.success) {
				return ok(accepted.data.version);
			}

			lastResponse = response === undefined ? 'no answer' : `${response.status} ${JSON.stringify(response.body)}`;
			if (response !== undefined && response.status < 500) {
				return err(failure('refused', `the change was rejected: ${lastResponse}`));
			}

			await delay(retryMilliseconds);
		}

		return err(failure('no-answer', `the change was not accepted in time: ${lastResponse}`));
	}

	/** Version in force on this VM; undefined if the VM does not return one. */
	async versionInForce(): Promise<number | undefined> {
		const response = await this._send('GET', '/v1/resources');
		return response?.status === 200 ? listSchema.safeParse(response.body).data?.version : undefined;
	}

	private async _send(method: 'GET' | 'POST', path: string, body?: string): Promise<{status: number; body: unknown} | undefined> {
		try {
			const response = await request(`${this._origin}${path}`, {
				method,
				headers: {authorization: `Bearer ${this._token}`, ...(body !== undefined && {'content-type': 'application/json'})},
				...(body !== undefined && {body}),
				signal: AbortSignal.timeout(5000),
			});
			const text = await response.body.text();
			return {status: response.statusCode, body: JSON.parse(text)};
		} catch {
			return undefined;
		}
	}
}
