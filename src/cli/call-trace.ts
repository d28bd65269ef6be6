/** The story of one call, from the log lines of several VMs. */
import {z} from 'zod';

/** Lines about backend servers and the store are told if they were written within this many milliseconds of the call. */
const nearMilliseconds = 3000;

/** Messages that explain what a VM believed when it decided; all others tell of other calls. */
const beliefs: ReadonlySet<string> = new Set([
	'configuration adopted',
	'configuration rejected; the one in force stays',
	'backend server registered',
	'backend server changed',
	'backend server gone',
	'evacuation of a data centre began',
	'evacuation of a data centre ended',
	'the store does not answer; what is known stays in force',
	'the store answers again',
	'reads the store itself',
	'relies on the registry feed of another VM',
	'started',
	'stop requested',
	'stage entered',
	'settings read again',
]);

const lineSchema = z.looseObject({
	time: z.iso.datetime(),
	level: z.string(),
	message: z.string(),
	vm: z.string().default('?'),
	traceId: z.string().optional(),
});

type Line = z.infer<typeof lineSchema>;

/** What was found of a call. */
export type CallStory = {
	/** Lines for people, oldest first. */
	readonly lines: readonly string[];
	/** Lines of the call itself; the others tell what its VMs believed. */
	readonly callLines: number;
	/** Lines of the input that are no log lines. */
	readonly unreadable: number;
};

function parse(text: string): Line | undefined {
	// Collectors put their own words before a line.
	const begin = text.indexOf('{');
	if (begin === -1) {
		return undefined;
	}

	try {
		const parsed = lineSchema.safeParse(JSON.parse(text.slice(begin)));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}

function describe({time, level, message, vm, traceId, ...fields}: Line): string {
	const details = Object.entries(fields).map(([name, value]) => `${name}=${typeof value === 'string' && value.includes(' ') ? JSON.stringify(value) : String(value)}`);
	return [time, vm, level === 'info' ? '' : level, message, ...details].filter(word => word !== '').join(' ');
}

/** Words by which a line about a belief touches the call: its service and the backend servers that it was sent to. */
function wordsOf(calls: readonly Line[]): string[] {
	const trails = calls.flatMap(({trail}) => typeof trail === 'string' ? [...trail.matchAll(/ to (?<server>[^:]+):/gv)].map(match => match.groups!.server!) : []);
	const services = calls.flatMap(({service}) => typeof service === 'string' ? [service] : []);
	return [...trails, ...services];
}

/** All lines of the call, and what its VMs came to believe of its backend servers, the store and themselves near it. */
export function tellCall(traceId: string, log: string): CallStory {
	const lines = log.split('\n').filter(text => text.trim() !== '');
	const parsed = lines.map(text => parse(text));
	const all = parsed.filter(line => line !== undefined);
	const calls = all.filter(line => line.traceId === traceId);
	const words = wordsOf(calls);
	const isNear = (line: Line) => calls.some(call => call.vm === line.vm && Math.abs(Date.parse(call.time) - Date.parse(line.time)) <= nearMilliseconds);
	const isBelief = (line: Line) => {
		const {backendServer, service} = line;
		const isOfServers = backendServer !== undefined || service !== undefined;
		return beliefs.has(line.message) && (!isOfServers || words.includes(String(backendServer)) || words.includes(String(service)));
	};

	const chosen = all.filter(line => line.traceId === traceId || (isBelief(line) && isNear(line)));
	return {
		lines: chosen.toSorted((one, other) => one.time.localeCompare(other.time)).map(line => describe(line)),
		callLines: calls.length,
		unreadable: parsed.length - all.length,
	};
}
