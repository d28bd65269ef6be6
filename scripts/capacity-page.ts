/**
 * Generates the tables of docs/CAPACITY.md from the stored benchmark results, between the page's markers:
 * `node --import=tsx scripts/capacity-page.ts`. A test checks that the page contains the generated tables.
 */
import {readFileSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';
import {daySeconds, target} from '../benchmark/capacity/sizes.ts';
import {capacityResultsSchema} from '../benchmark/capacity/types.ts';
import {controlResultsSchema} from '../benchmark/control/types.ts';
import {pathResultsSchema} from '../benchmark/path/types.ts';
import {maxHistoryCharacters, maxKeptCharacters} from '../src/common/fleet/configuration/head.ts';
import {packageRoot} from '../src/stand-ins/program-files.ts';
import {
	maxLoadShare, Projection, minSubsetSize, loadReadsPerSecond, type StoredResults,
} from './capacity-projection.ts';

/** Limits of the target: cost of control on one VM, time until a change is in force, and time added to a call. */
const limits = {
	coreShare: 0.012, bytes: 128e6, bytesPerSecond: 13_000, changeMilliseconds: 5000, addedMilliseconds: 1.9,
};

const vmListPollSeconds = 5;
const headPollSeconds = 30;
const watchersPerDataCentre = 2;
const shardBytes = 450_000;
const vmsReplacedPerDay = 1700;
const vmsFailedPerDay = 48;
const megabyte = 1e6;

function readResults(): StoredResults {
	const read = (name: string): unknown => JSON.parse(readFileSync(join(packageRoot, 'docs', 'results', name), 'utf8'));
	return {path: pathResultsSchema.parse(read('path.json')), capacity: capacityResultsSchema.parse(read('capacity.json')), control: controlResultsSchema.parse(read('control.json'))};
}

function table(header: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const line = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`;
	return [line(header), line(header.map(() => '---')), ...rows.map(row => line(row))].join('\n');
}

function formatPercent(share: number): string {
	return `${(share * 100).toPrecision(2)} %`;
}

function formatMegabytes(bytes: number): string {
	return `${(bytes / megabyte).toPrecision(3)} MB`;
}

function formatKilobytesPerSecond(bytes: number): string {
	return `${(bytes / 1000).toPrecision(3)} KB/s`;
}

function formatVerdict(value: number, limit: number): string {
	return value <= limit ? `met (${formatPercent(value / limit)} of it)` : `missed ${(value / limit).toPrecision(2)} times`;
}

function size(projection: Projection): string {
	const saturation = projection.pairedResult('reads, saturation');
	return table(['quantity', 'formula', 'value'], [
		['calls a second of one VM', `${maxLoadShare} × saturation of ${saturation.through.callsPerSecond.toFixed(0)}/s`, projection.callsPerSecondPerVm.toFixed(0)],
		['VMs', `${target.callsPerSecond} / calls a second of one VM`, String(projection.vms)],
		['services carried by a VM, at least', `${target.services} × ${minSubsetSize} / VMs`, projection.carriedServices.toPrecision(3)],
		[
			'backend servers known to a VM, at least', `services carried × ${target.backendServers} / ${target.services}`, projection.carriedBackendServers.toFixed(0),
		],
		['added to a call 21 deep, at p50', '21 × added p50 of one level', `${(21 * projection.pairedResult('reads, 60%').added.p50).toPrecision(3)} ms`],
		['slots of fleet-wide budgets', '1.5 × VMs, assumed as today', projection.shareSlots.toFixed(0)],
		['a slot allows a measuring call to one backend server every', 'slots / (240 calls / 10 s)', `${projection.measuringIntervalSeconds.toPrecision(2)} s`],
		['a slot allows connections to one backend server', '0.8 × 250 / slots', projection.connectionsPerSlot.toPrecision(2)],
		['changes a second', `${target.changesPerDay} / ${daySeconds}`, projection.changesPerSecond.toPrecision(3)],
	]);
}

function path(projection: Projection): string {
	return table(
		[
			'calls', 'direct/s', 'through/s', 'share', 'added p50', 'added p99', 'least added p99', 'added p99.9', 'CPU a call', 'waiting for a processor', 'longest GC',
		],
		projection.results.path.paired.map(result => [
			result.name,
			result.direct.callsPerSecond.toFixed(0),
			result.through.callsPerSecond.toFixed(0),
			(result.through.callsPerSecond / result.direct.callsPerSecond).toFixed(2),
			`${result.added.p50.toFixed(2)} ms`,
			`${result.added.p99.toFixed(2)} ms`,
			`${result.leastAddedP99.toFixed(2)} ms`,
			`${result.added.p999.toFixed(2)} ms`,
			`${result.processorMicrosecondsPerCall.toFixed(0)} µs`,
			formatPercent(result.waitingShare),
			`${result.garbageCollection.longestMilliseconds.toFixed(1)} ms`,
		]),
	);
}

function pathMemory(projection: Projection): string {
	const {memory} = projection.results.path;
	return table(['memory of a daemon', 'value'], [
		['resident, just started', formatMegabytes(memory.startBytes)],
		['an idle connection of a caller', `${(memory.bytesPerIdleConnection / 1000).toPrecision(2)} KB`],
		['a paused download', `${(memory.bytesPerPausedDownload / 1000).toPrecision(2)} KB`],
		['growth while 20 downloads stay paused', formatMegabytes(memory.growthWhilePausedBytes)],
		...memory.growthInDownloads.map(({answerBytes, growthBytes}) => [`growth while downloads of ${answerBytes / megabyte} MB run, two at a time`, formatMegabytes(growthBytes)]),
	]);
}

/** Row of a cost that depends on the number of backend servers that a VM stores: all of them, or those of the services it carries. */
function costRow(projection: Projection, role: string, line: string, cost: (backendServers: number) => string): string[] {
	return [role, line, cost(target.backendServers), cost(projection.carriedBackendServers)];
}

function membershipRows(projection: Projection): string[][] {
	const {transport} = projection.results.capacity;
	const {vms, messagesOutPerSecond} = projection;
	const grpc = `${transport.overheadBytesPerMessage.toFixed(0)} a message for gRPC`;
	const row = (role: string, line: string, value: string): string[] => [role, line, value, 'the same'];
	return [
		row('membership: memory', `${projection.formula('membership.bytes')} bytes`, formatMegabytes(projection.valueAt('membership.bytes', vms))),
		row('membership: messages out', `${projection.formula('membership.messagesOutPerSecond')} a second`, `${messagesOutPerSecond.toPrecision(3)}/s`),
		row('membership, relay of changes: bytes out', `${projection.formula('membership.bytesOutPerSecond')} + ${grpc}`, formatKilobytesPerSecond(projection.membershipBytesOutPerSecond)),
		row('membership, relay of changes: bytes in', `${projection.formula('membership.bytesInPerSecond')} + ${grpc}`, formatKilobytesPerSecond(projection.membershipBytesInPerSecond)),
		row(
			'membership: processor',
			`engine ${projection.formula('membership.engineCoreShare')} cores; gRPC ${transport.processorMicrosecondsPerMessage.toFixed(0)} µs a message`,
			formatPercent(projection.membershipCoreShare),
		),
		row('watcher: bytes in besides', `changes × (${maxKeptCharacters} to ${maxHistoryCharacters} bytes of the head)`, formatKilobytesPerSecond(projection.watcherBytesPerSecond)),
	];
}

function configurationRows(projection: Projection): string[][] {
	const milliseconds = `${projection.formula('configuration.changeMilliseconds')} and ${projection.formula('calls.configureMilliseconds')} ms`;
	return [
		costRow(projection, 'configuration: memory', `${projection.formula('configuration.bytes')} bytes`, servers => formatMegabytes(Math.max(0, projection.valueAt('configuration.bytes', servers)))),
		costRow(projection, 'configuration: processor', `changes × (${milliseconds})`, servers => formatPercent(projection.changeCoreShare(servers))),
		costRow(
			projection,
			'configuration: a snapshot',
			`${projection.formula('configuration.snapshotBytes')} bytes`,
			servers => formatMegabytes(projection.valueAt('configuration.snapshotBytes', servers)),
		),
	];
}

function entryRows(projection: Projection): string[][] {
	const upkeep = `${projection.formula('calls.idleCoreShare')} cores, and ${loadReadsPerSecond}/s × (${projection.formula('calls.loadMilliseconds')} ms)`;
	const backendServersPerService = target.backendServers / target.services;
	return [
		costRow(
			projection,
			'entry VM, call engine: memory',
			`${projection.formula('calls.stateBytes')} and ${projection.formula('calls.activeServiceBytes')} bytes`,
			servers => formatMegabytes(projection.callEngineBytes(servers)),
		),
		costRow(projection, 'entry VM, upkeep: processor', upkeep, servers => formatPercent(projection.upkeepCoreShare(servers))),
		[
			'entry VM, decisions of a call',
			`${projection.formula('calls.decisionMicroseconds')} µs`,
			`${projection.valueAt('calls.decisionMicroseconds', backendServersPerService).toPrecision(3)} µs`,
			'the same',
		],
		[
			'address answers: processor',
			`answers × (${projection.formula('addresses.microseconds')} µs); ${projection.addressAnswersPerSecond.toFixed(0)} answers/s assumed`,
			formatPercent(projection.addressAnswerCoreShare),
			'the same until a subset is kept between answers',
		],
	];
}

function roles(projection: Projection): string {
	return table(
		['role', 'measured line', 'a VM that knows everything (stands)', 'a VM that knows what it carries (designed)'],
		[...membershipRows(projection), ...configurationRows(projection), ...entryRows(projection)],
	);
}

function limitsTable(projection: Projection): string {
	const read = projection.pairedResult('reads, 60%');
	const everything = target.backendServers;
	const subset = projection.carriedBackendServers;
	const bytesPerSecond = projection.membershipBytesOutPerSecond + projection.membershipBytesInPerSecond;
	const compareToLimit = (value: number, limit: number, format: (amount: number) => string): string[] => [format(value), formatVerdict(value, limit)];
	const same = ['the same', ''];
	const milliseconds = (value: number): string => `${value.toFixed(2)} ms`;
	return table(['limit', 'a VM that knows everything', 'verdict', 'a VM that knows what it carries', 'verdict'], [
		[
			'1.2 % of a core for control',
			...compareToLimit(projection.controlCoreShare(everything), limits.coreShare, formatPercent),
			...compareToLimit(projection.controlCoreShare(subset), limits.coreShare, formatPercent),
		],
		[
			'128 MB for control, heap of its state',
			...compareToLimit(projection.controlBytes(everything), limits.bytes, formatMegabytes),
			...compareToLimit(projection.controlBytes(subset), limits.bytes, formatMegabytes),
		],
		[
			'128 MB, with the whole process just started',
			...compareToLimit(projection.processBytes(everything), limits.bytes, formatMegabytes),
			...compareToLimit(projection.processBytes(subset), limits.bytes, formatMegabytes),
		],
		['13 KB a second for control, both ways', ...compareToLimit(bytesPerSecond, limits.bytesPerSecond, formatKilobytesPerSecond), ...same],
		['13 KB a second, a watcher', ...compareToLimit(bytesPerSecond + projection.watcherBytesPerSecond, limits.bytesPerSecond, formatKilobytesPerSecond), ...same],
		[
			'5 s until a change is in force everywhere, fleets of engines',
			...compareToLimit(projection.valueAt('configuration.inForceMilliseconds', Math.log2(projection.vms)), limits.changeMilliseconds, milliseconds),
			...same,
		],
		['1.9 ms added at p99, 60 % load, median of rounds', ...compareToLimit(read.added.p99, limits.addedMilliseconds, milliseconds), ...same],
		['1.9 ms added at p99, 60 % load, quietest round', ...compareToLimit(read.leastAddedP99, limits.addedMilliseconds, milliseconds), ...same],
	]);
}

function platform(projection: Projection): string {
	const {vms} = projection;
	const leases = vms * projection.valueAt('platform.callsPerSecondOfAVm', vms);
	const shards = Math.ceil(projection.valueAt('configuration.snapshotBytes', target.backendServers) / shardBytes);
	return table(['calls of the platform\'s service', 'formula', 'a second', 'grows with'], [
		[
			'leases of share slots, and reads of the head', `VMs × ${projection.valueAt('platform.callsPerSecondOfAVm', vms).toPrecision(2)} (measured)`, leases.toFixed(0), 'the fleet',
		],
		['of these, reads of the head', `VMs / ${headPollSeconds}`, (vms / headPollSeconds).toFixed(0), 'the fleet'],
		['reads of the VM list', `VMs / ${vmListPollSeconds}`, (vms / vmListPollSeconds).toFixed(0), 'the fleet'],
		[
			'waiting watches, at any moment', `${target.dataCentres} data centres × ${watchersPerDataCentre}`, String(target.dataCentres * watchersPerDataCentre), 'data centres',
		],
		['writes of changes', 'changes', projection.changesPerSecond.toPrecision(2), 'changes'],
		[
			'bytes out to watchers', 'watchers × bytes of a watcher', formatKilobytesPerSecond(target.dataCentres * watchersPerDataCentre * projection.watcherBytesPerSecond), 'data centres × changes',
		],
		[
			'reads by replaced VMs', `${vmsReplacedPerDay} a day × shards of a snapshot`, (vmsReplacedPerDay * shards / daySeconds).toPrecision(2), 'VMs replaced',
		],
	]);
}

function dissemination(projection: Projection): string {
	const steady = projection.results.capacity.steadyStates.filter(({isWatcher}) => !isWatcher);
	const rows = steady.map(state => [
		String(state.vms),
		state.messagesOutPerSecond.toFixed(2),
		state.bytesOutPerSecond.toFixed(0),
		state.bytesInPerSecond.toFixed(0),
		formatPercent(state.engineCoreShare),
		String(state.membersBehind),
	]);
	const recordsPerSecond = (projection.changesPerSecond * projection.vms).toFixed(0);
	const recordsPerDay = (vmsReplacedPerDay * 2) + vmsFailedPerDay;
	const inForce = projection.results.capacity.slopes.find(({name}) => name === 'configuration.inForceMilliseconds')!;
	const fleets = inForce.points.map(({size, value}) => `${(2 ** size).toFixed(0)} VMs ${value.toFixed(0)} ms`).join(', ');
	const changes = `Longest time until a change was in force on every VM of a simulated fleet: ${fleets}.`;
	const perChange = `At ${projection.vms} VMs every change makes ${projection.vms} new records, ${recordsPerSecond} a second at ${projection.changesPerSecond.toPrecision(3)} changes a second.`;
	const perDay = `VMs that are replaced or fail (${vmsReplacedPerDay} and ${vmsFailedPerDay} a day) make ${recordsPerDay} a day, ${(recordsPerDay / daySeconds).toPrecision(2)} a second.`;
	const states = table(['VMs', 'messages out/s', 'bytes out/s', 'bytes in/s', 'engine', 'members whose version is not known here yet'], rows);
	return `${states}\n\n${changes}\n\n${perChange} ${perDay}`;
}

/** Results of daemons that run as processes on one machine. */
function control(projection: Projection): string {
	const {vms, resources} = projection.results.control;
	const byVms = table(
		[
			'VMs',
			'in force, p50 and worst',
			'store out after acceptance, worst',
			'a VM replaced, worst',
			'last new call after leaving began, worst',
			'processor at rest',
			'memory',
			'bytes out/s',
			'store calls/s of the fleet',
		],
		vms.map(({vms: count, atRest, inForceCalm, inForceStoreOut, inForceReplaced, leaving}) => [
			String(count),
			`${inForceCalm.p50} and ${inForceCalm.worst} ms`,
			`${inForceStoreOut.worst} ms`,
			`${inForceReplaced.worst} ms`,
			`${leaving.worst} ms`,
			`${atRest.processorPercent} %`,
			`${atRest.memoryMegabytes} MB`,
			String(atRest.bytesOutPerSecond),
			String(atRest.storeCallsPerSecond),
		]),
	);
	const byResources = table(['resources, 3 VMs', 'in force, p50 and worst', 'processor at rest', 'memory'], resources.map(({resources: count, inForce, atRest}) => [
		String(count), `${inForce.p50} and ${inForce.worst} ms`, `${atRest.processorPercent} %`, `${atRest.memoryMegabytes} MB`,
	]));
	return `${byVms}\n\n${byResources}`;
}

const sections: Readonly<Record<string, (projection: Projection) => string>> = {
	size, path, 'path-memory': pathMemory, roles, limits: limitsTable, platform, dissemination, control,
};

/** Returns the page with its tables generated from the results. A section with an unknown name stays unchanged. */
export function renderPage(page: string, results: StoredResults): string {
	const projection = new Projection(results);
	return page.replaceAll(/<!-- figures:(?<name>[a-z\-]+) -->\n.*?<!-- end -->/gsv, (found, name: string) => {
		const render = sections[name];
		return render === undefined ? found : `<!-- figures:${name} -->\n\n${render(projection)}\n\n<!-- end -->`;
	});
}

/** Returns the page in the repository, and the page as generated from the stored results. */
export function checkPage(): {readonly present: string; readonly expected: string; readonly results: StoredResults} {
	const present = readFileSync(join(packageRoot, 'docs', 'CAPACITY.md'), 'utf8');
	const results = readResults();
	return {present, expected: renderPage(present, results), results};
}

if (process.argv[1] === import.meta.filename) {
	writeFileSync(join(packageRoot, 'docs', 'CAPACITY.md'), checkPage().expected);
}
