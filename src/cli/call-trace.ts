/** Extracts the trace of one call from the log lines of several VMs. */
import {z} from 'zod';

/** Context lines are included if the same VM logged them within this time of a line of the call. */
const contextWindowMilliseconds = 3000;

/** Messages that explain a VM's decisions: changes of its configuration, backend servers, store and stage. Other messages concern other calls. */
const contextMessages: ReadonlySet<string> = new Set([
	'configuration adopted',
	'configuration rejected; the one in force stays',
	'backend server registered',
	'backend server changed',
	'backend server gone',
	'evacuation of a data centre began',
	'evacuation of a data centre ended',
	'the store does not answer; what is known stays in force',
	'the store answers again',
	'the store was restored from a backup and has lost its latest writes',
	'all entries have been read since the store was restored',
	'frame of the registry feed is behind the entries known here',
	'path to a backend server changed',
	'backend server crashed with calls in flight',
	'call quarantined: it is the only one that was in flight at all of these crashes',
	'call no longer suspected of crashes',
	'obtained evidence that this VM had missed',
	'quarantine ended',
	'quarantine lifted by an operator',
	'reads the store itself',
	'relies on the registry feed of another VM',
	'started',
	'stop requested',
	'stage entered',
	'settings read again',
]);

/** Context messages on the VM as a whole, although they name the backend server at which it was noticed. */
const vmMessages: ReadonlySet<string> = new Set([
	'link to a backend server lost that other VMs may still have',
	'links to all backend servers regained',
]);

const lineSchema = z.looseObject({
	time: z.iso.datetime(),
	level: z.string(),
	message: z.string(),
	vm: z.string().default('?'),
	traceId: z.string().optional(),
});

type Line = z.infer<typeof lineSchema>;

/** Result of a search for one call. */
export type CallTrace = {
	/** Formatted lines of the call and of its context, oldest first. */
	readonly lines: readonly string[];
	/** How many of the lines belong to the call itself; the others are context. */
	readonly callLines: number;
	/** How many lines of the input are not log lines of jaydale. */
	readonly unreadableLines: number;
};

function parse(text: string): Line | undefined {
	// Log collectors add a prefix to each line.
	const start = text.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	try {
		const parsed = lineSchema.safeParse(JSON.parse(text.slice(start)));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}

function formatLine({time, level, message, vm, traceId, ...fields}: Line): string {
	const details = Object.entries(fields).map(([name, value]) => `${name}=${typeof value === 'string' && value.includes(' ') ? JSON.stringify(value) : String(value)}`);
	return [time, vm, level === 'info' ? '' : level, message, ...details].filter(word => word !== '').join(' ');
}

/** Names that relate a context line to the call: its service and the backend servers to which it was sent. */
function namesInCall(calls: readonly Line[]): string[] {
	const trails = calls.flatMap(({trail}) => typeof trail === 'string' ? [...trail.matchAll(/ to (?<server>[^:]+):/gv)].map(match => match.groups!.server!) : []);
	const services = calls.flatMap(({service}) => typeof service === 'string' ? [service] : []);
	return [...trails, ...services];
}

/**
 * Finds all lines of the call, and the context lines that the same VMs logged near it: those about its service and backend
 * servers, and those that concern the VM as a whole.
 */
export function traceCall(traceId: string, log: string): CallTrace {
	const lines = log.split('\n').filter(text => text.trim() !== '');
	const parsed = lines.map(text => parse(text));
	const all = parsed.filter(line => line !== undefined);
	const calls = all.filter(line => line.traceId === traceId);
	const names = namesInCall(calls);
	const isNearCall = (line: Line) => calls.some(call => call.vm === line.vm && Math.abs(Date.parse(call.time) - Date.parse(line.time)) <= contextWindowMilliseconds);
	const isContext = (line: Line) => {
		const {backendServer, service} = line;
		const namesResource = backendServer !== undefined || service !== undefined;
		const isRelated = !namesResource || names.includes(String(backendServer)) || names.includes(String(service));
		return vmMessages.has(line.message) || (contextMessages.has(line.message) && isRelated);
	};

	const chosen = all.filter(line => line.traceId === traceId || (isContext(line) && isNearCall(line)));
	return {
		lines: chosen.toSorted((one, other) => one.time.localeCompare(other.time)).map(line => formatLine(line)),
		callLines: calls.length,
		unreadableLines: parsed.length - all.length,
	};
}
