/** Client of the stand-ins' admin endpoints. */
import {request} from 'undici';
import {z} from 'zod';
import {
	backendServerCountsSchema, type BackendServerCounts, type BackendServerUpdate, type CallRecord, callRecordSchema,
} from './backend-server/types.ts';
import {type CallerReport, callerReportSchema} from './caller/types.ts';
import {type PlatformCounts, type PlatformFaults, type PlatformVms} from './platform/types.ts';

const callsSchema = z.object({calls: z.array(callRecordSchema)});
const platformCountsSchema = z.record(z.string(), z.number());

async function sendRequest(port: number, path: string, content?: unknown): Promise<unknown> {
	const response = await request(`http://127.0.0.1:${port}${path}`, content === undefined
		? {}
		: {method: 'POST', body: JSON.stringify(content), headers: {'content-type': 'application/json'}});
	return response.body.json();
}

/** One function per admin endpoint; each takes the port of a stand-in on this machine. */
export const standInClient = {
	setVms: async (port: number, content: PlatformVms): Promise<unknown> => sendRequest(port, '/admin/vms', content),
	setFaults: async (port: number, faults: PlatformFaults): Promise<unknown> => sendRequest(port, '/admin/faults', faults),
	platformCounts: async (port: number): Promise<PlatformCounts> => platformCountsSchema.parse(await sendRequest(port, '/admin/counts')),
	orderBackendServer: async (port: number, content: BackendServerUpdate): Promise<unknown> => sendRequest(port, '/admin', content),
	backendServerCounts: async (port: number): Promise<BackendServerCounts> => backendServerCountsSchema.parse(await sendRequest(port, '/admin/counts')),
	async calls(port: number): Promise<readonly CallRecord[]> {
		const {calls} = callsSchema.parse(await sendRequest(port, '/admin/calls'));
		return calls;
	},
	callerReport: async (port: number): Promise<CallerReport> => callerReportSchema.parse(await sendRequest(port, '/admin/report')),
	stopCaller: async (port: number): Promise<unknown> => sendRequest(port, '/admin/stop', {}),
};
