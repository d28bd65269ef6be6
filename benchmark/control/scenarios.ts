/** What the control benchmark measures on a running fleet. */
import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {type Resource, resourceSchema} from '../../src/common/model/resources.ts';
import {standInClient} from '../../src/stand-ins/stand-in-client.ts';
import {type ControlFleet, type ControlVm} from './control-fleet.ts';

/** Times in milliseconds. */
export type Spread = {readonly runs: number; readonly missed: number; readonly p50: number; readonly p99: number; readonly worst: number};

/** What a VM spends on control, on average over the VMs. */
export type Cost = {
	readonly bytesOutPerSecond: number;
	readonly messagesOutPerSecond: number;
	readonly processorPercent: number;
	readonly memoryMegabytes: number;
	/** Of the whole fleet. */
	readonly storeCallsPerSecond: number;
};

/** Past this a change counts as missed. */
const inForceLimitMilliseconds = 10_000;

/** Between two calls of the load that shows whether a leaving backend server still gets work. */
const callEveryMilliseconds = 10;
const leaveWatchMilliseconds = 3000;

export function spread(times: readonly number[], missed: number): Spread {
	const sorted = times.toSorted((a, b) => a - b);
	const at = (share: number): number => Math.round((sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? Number.NaN) * 10) / 10;
	return {
		runs: times.length + missed, missed, p50: at(0.5), p99: at(0.99), worst: at(1),
	};
}

export function service(name: string, note = 0): Resource {
	return resourceSchema.parse({
		kind: 'service', name, queueLimit: 200 + note, measuring: {callsPerWindow: 0},
	});
}

export function backendServer(name: string, port: number): Resource {
	return resourceSchema.parse({
		kind: 'backend-server', name, service: 'reads', address: '127.0.0.1', port, dataCentre: 'gdansk-1',
	});
}

/** From the acceptance of one change to the last VM that has it in force. */
async function timeOne(fleet: ControlFleet, through: ControlVm, number: number, onAccepted: () => Promise<unknown>): Promise<number | undefined> {
	const before = await through.operator.versionInForce() ?? 0;
	const watching = fleet.running().map(async vm => fleet.nextVersion(vm, before, inForceLimitMilliseconds));
	const accepted = await fleet.change(through, [service('reads', number)]);
	const disturbance = onAccepted();
	const arrivals = await Promise.all(watching);
	await disturbance;
	if (!accepted || arrivals.includes(undefined)) {
		return undefined;
	}

	return Math.max(0, ...arrivals.map(arrival => arrival!.at - accepted.at));
}

/** Repeats a change; `onAccepted` disturbs the fleet right after the answer to the operator. */
export async function timeToForce(fleet: ControlFleet, runs: number, onAccepted: (run: number) => Promise<unknown>, afterRun: () => Promise<unknown>): Promise<Spread> {
	const times: number[] = [];
	for (let run = 0; run < runs; run += 1) {
		const running = fleet.running();
		const time = await timeOne(fleet, running[run % running.length]!, run, async () => onAccepted(run));
		if (time !== undefined) {
			times.push(time);
		}

		await afterRun();
	}

	return spread(times, runs - times.length);
}

/** What control costs while nothing happens. */
export async function costAtRest(fleet: ControlFleet, seconds: number): Promise<Cost> {
	const before = await fleet.counters();
	await delay(seconds * 1000);
	const after = await fleet.counters();
	const span = (after.at - before.at) / 1000;
	const vms = after.processorMilliseconds.length;
	const processor = after.processorMilliseconds.reduce((sum, value, index) => sum + value - before.processorMilliseconds[index]!, 0);
	const round = (value: number): number => Math.round(value * 100) / 100;
	return {
		bytesOutPerSecond: round((after.peerBytes - before.peerBytes) / span / vms),
		messagesOutPerSecond: round((after.peerMessages - before.peerMessages) / span / vms),
		processorPercent: round(processor / span / 10 / vms),
		memoryMegabytes: round(fleet.memory().reduce((sum, value) => sum + value, 0) / vms),
		storeCallsPerSecond: round((after.storeCalls - before.storeCalls) / span),
	};
}

/** Calls through each VM at a steady rate until told to stop. */
function callThroughAll(fleet: ControlFleet): {readonly stop: () => Promise<void>} {
	const stopping = new AbortController();
	const loops = fleet.running().map(async vm => {
		while (!stopping.signal.aborted) {
			try {
				const {body} = await request(`http://127.0.0.1:${vm.plan.callPort}/services/reads/x`, {headers: {'jaydale-caller': randomUUID()}});
				await body.dump();
			} catch {
				// What calls come to is measured elsewhere.
			}

			await delay(callEveryMilliseconds);
		}
	});
	return {
		async stop() {
			stopping.abort();
			await Promise.all(loops);
		},
	};
}

/** From the moment at which a backend server begins to leave to the last new call that it gets. */
export async function timeToLastCall(fleet: ControlFleet, runs: number): Promise<Spread> {
	const calls = callThroughAll(fleet);
	await delay(1000);
	const times: number[] = [];
	for (let run = 0; run < runs; run += 1) {
		const port = fleet.backendPorts[run % fleet.backendPorts.length]!;
		await standInClient.orderBackendServer(port, {isDraining: true});
		await delay(leaveWatchMilliseconds);
		const records = await standInClient.calls(port);
		times.push(Math.max(0, ...records.map(record => record.millisecondsIntoDrain ?? 0)));
	}

	await calls.stop();
	return spread(times, 0);
}
