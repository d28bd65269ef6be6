/** Requests to the stand-ins' admin endpoints. */
import {request} from 'undici';
import {z} from 'zod';
import {
	backendServerCountsSchema, type BackendServerCounts, type BackendServerOrder, type CallRecord, callRecordSchema,
} from './backend-server/types.ts';
import {type CallerReport, callerReportSchema} from './caller/types.ts';
import {type PlatformCounts, type PlatformFaults, type PlatformVms} from './platform/types.ts';

const callsSchema = z.object({calls: z.array(callRecordSchema)});
const platformCountsSchema = z.record(z.string(), z.number());

async function ask(port: number, path: string, order?: unknown): Promise<unknown> {
	const answer = await request(`http://127.0.0.1:${port}${path}`, order === undefined
		? {}
		: {method: 'POST', body: JSON.stringify(order), headers: {'content-type': 'application/json'}});
	return answer.body.json();
}

/** One function for each admin endpoint. */
export const standInClient = {
	setVms: async (port: number, order: PlatformVms): Promise<unknown> => ask(port, '/admin/vms', order),
	setFaults: async (port: number, faults: PlatformFaults): Promise<unknown> => ask(port, '/admin/faults', faults),
	platformCounts: async (port: number): Promise<PlatformCounts> => platformCountsSchema.parse(await ask(port, '/admin/counts')),
	orderBackendServer: async (port: number, order: BackendServerOrder): Promise<unknown> => ask(port, '/admin', order),
	backendServerCounts: async (port: number): Promise<BackendServerCounts> => backendServerCountsSchema.parse(await ask(port, '/admin/counts')),
	async calls(port: number): Promise<readonly CallRecord[]> {
		const {calls} = callsSchema.parse(await ask(port, '/admin/calls'));
		return calls;
	},
	callerReport: async (port: number): Promise<CallerReport> => callerReportSchema.parse(await ask(port, '/admin/report')),
	stopCaller: async (port: number): Promise<unknown> => ask(port, '/admin/stop', {}),
};
