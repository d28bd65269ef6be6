/** Measurements of the control benchmark on a running fleet. */
import {randomUUID} from 'node:crypto';
import {setTimeout as delay} from 'node:timers/promises';
import {request} from 'undici';
import {type Resource, resourceSchema} from '../../src/common/model/resources.ts';
import {standInClient} from '../../src/stand-ins/stand-in-client.ts';
import {type ControlFleet, type ControlVm} from './control-fleet.ts';

/** Distribution of times in milliseconds over a number of runs. */
export type Spread = {readonly runs: number; readonly missed: number; readonly p50: number; readonly p99: number; readonly worst: number};

/** Cost of control per VM, as a mean over the VMs. */
export type Cost = {
	readonly bytesOutPerSecond: number;
	readonly messagesOutPerSecond: number;
	readonly processorPercent: number;
	readonly memoryMegabytes: number;
	/** Of the whole fleet. */
	readonly storeCallsPerSecond: number;
};

/** A change that is not in force on all VMs after this time counts as missed. */
const inForceLimitMilliseconds = 10_000;

/** Interval of the calls that show whether a leaving backend server still receives calls. */
const callIntervalMilliseconds = 10;
const drainObservationMilliseconds = 3000;

export function spread(times: readonly number[], missed: number): Spread {
	const sorted = times.toSorted((a, b) => a - b);
	const quantile = (fraction: number): number => Math.round((sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ?? Number.NaN) * 10) / 10;
	return {
		runs: times.length + missed, missed, p50: quantile(0.5), p99: quantile(0.99), worst: quantile(1),
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

/** Milliseconds from the acceptance of a change until it is in force on the last VM; undefined if missed. */
async function timeChange(fleet: ControlFleet, changeVm: ControlVm, number: number, onAccepted: () => Promise<unknown>): Promise<number | undefined> {
	const before = await changeVm.operator.versionInForce() ?? 0;
	const watching = fleet.running().map(async vm => fleet.nextVersion(vm, before, inForceLimitMilliseconds));
	const accepted = await fleet.change(changeVm, [service('reads', number)]);
	const disturbance = onAccepted();
	const arrivals = await Promise.all(watching);
	await disturbance;
	if (!accepted || arrivals.includes(undefined)) {
		return undefined;
	}

	return Math.max(0, ...arrivals.map(arrival => arrival!.at - accepted.at));
}

/** Times repeated changes. `onAccepted` can disturb the fleet as soon as the operator has received the answer. */
export async function timeToForce(fleet: ControlFleet, runs: number, onAccepted: (run: number) => Promise<unknown>, afterRun: () => Promise<unknown>): Promise<Spread> {
	const times: number[] = [];
	for (let run = 0; run < runs; run += 1) {
		const running = fleet.running();
		const time = await timeChange(fleet, running[run % running.length]!, run, async () => onAccepted(run));
		if (time !== undefined) {
			times.push(time);
		}

		await afterRun();
	}

	return spread(times, runs - times.length);
}

/** Measures the cost of control without changes and calls. */
export async function costAtRest(fleet: ControlFleet, seconds: number): Promise<Cost> {
	const before = await fleet.counters();
	await delay(seconds * 1000);
	const after = await fleet.counters();
	const elapsedSeconds = (after.at - before.at) / 1000;
	const vms = after.processorMilliseconds.length;
	const processor = after.processorMilliseconds.reduce((sum, value, index) => sum + value - before.processorMilliseconds[index]!, 0);
	const round = (value: number): number => Math.round(value * 100) / 100;
	return {
		bytesOutPerSecond: round((after.peerBytes - before.peerBytes) / elapsedSeconds / vms),
		messagesOutPerSecond: round((after.peerMessages - before.peerMessages) / elapsedSeconds / vms),
		processorPercent: round(processor / elapsedSeconds / 10 / vms),
		memoryMegabytes: round(fleet.memory().reduce((sum, value) => sum + value, 0) / vms),
		storeCallsPerSecond: round((after.storeCalls - before.storeCalls) / elapsedSeconds),
	};
}

/** Sends calls through each VM, 10 ms apart, until `stop` is called. */
function callThroughAll(fleet: ControlFleet): {readonly stop: () => Promise<void>} {
	const stopping = new AbortController();
	const loops = fleet.running().map(async vm => {
		while (!stopping.signal.aborted) {
			try {
				const {body} = await request(`http://127.0.0.1:${vm.plan.callPort}/services/reads/x`, {headers: {'jaydale-caller': randomUUID()}});
				await body.dump();
			} catch {
				// The outcomes of calls are measured by other benchmarks.
			}

			await delay(callIntervalMilliseconds);
		}
	});
	return {
		async stop() {
			stopping.abort();
			await Promise.all(loops);
		},
	};
}

/** Times how long after the start of its drain a backend server still receives new calls. */
export async function timeToLastCall(fleet: ControlFleet, runs: number): Promise<Spread> {
	const calls = callThroughAll(fleet);
	await delay(1000);
	const times: number[] = [];
	for (let run = 0; run < runs; run += 1) {
		const port = fleet.backendPorts[run % fleet.backendPorts.length]!;
		await standInClient.orderBackendServer(port, {isDraining: true});
		await delay(drainObservationMilliseconds);
		const records = await standInClient.calls(port);
		times.push(Math.max(0, ...records.map(record => record.millisecondsIntoDrain ?? 0)));
	}

	await calls.stop();
	return spread(times, 0);
}
