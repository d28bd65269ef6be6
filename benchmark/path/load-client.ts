/** Client of the load process. */
import {Agent, request} from 'undici';
import {
	type HoldOrder, type LoadOrder, type LoadResult, loadResultSchema,
} from './types.ts';

/** Runs last as long as ordered, so the timeouts of the library are disabled. */
const agentWithoutTimeouts = new Agent({headersTimeout: 0, bodyTimeout: 0});

async function post(port: number, path: string, order: unknown): Promise<unknown> {
	const answer = await request(`http://127.0.0.1:${port}${path}`, {
		method: 'POST', body: JSON.stringify(order), headers: {'content-type': 'application/json'}, dispatcher: agentWithoutTimeouts,
	});
	return answer.body.json();
}

/** One function for each endpoint of the load process. */
export const loadClient = {
	run: async (port: number, order: LoadOrder): Promise<LoadResult> => loadResultSchema.parse(await post(port, '/run', order)),
	hold: async (port: number, order: HoldOrder): Promise<unknown> => post(port, '/hold', order),
	release: async (port: number): Promise<unknown> => post(port, '/release', {}),
};
