/**
 * Benchmark `capacity`: how the costs of control grow with the number of VMs and resources. Engines run in virtual time
 * without sockets; only the transport between VMs is measured over loopback.
 * `node --import=tsx benchmark/capacity/main.ts [--json FILE]`
 */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import sade from 'sade';
import {loadHashes} from '../../src/daemon/identity.ts';
import {textTable} from '../../src/stand-ins/text-table.ts';
import {slopeOfActiveServices, slopeOfDecisions, slopesOfState} from './call-slopes.ts';
import {slopeOfChanges, slopesAgainstResources, slopesAgainstVms} from './fleet-slopes.ts';
import {measureTransport} from './transport-cost.ts';
import {type CapacityResults, type Slope, type SteadyState} from './types.ts';

type Options = {readonly json?: string; readonly seconds: number; readonly vms: string};

const resourceSizes = [190, 1900, 19_000];
const serviceSizes = [11, 110, 1100];
const fleetSizes = [16, 64, 250, 600];
const candidateCounts = [6, 17, 64, 256];

function slopeTable(slopes: readonly Slope[]): string {
	return textTable(['measured', 'against', 'unit', 'fixed', 'slope', 'points'], slopes.map(slope => [
		slope.name,
		slope.against,
		slope.unit,
		slope.fixed.toPrecision(4),
		slope.slope.toPrecision(4),
		slope.points.map(({size, value}) => `${size}: ${value.toPrecision(4)}`).join(', '),
	]));
}

function stateTable(states: readonly SteadyState[]): string {
	return textTable(['VMs', 'watches', 'msg out/s', 'B out/s', 'msg in/s', 'B in/s', 'engine core', 'codec core', 'store calls/s', 'members behind'], states.map(state => [
		String(state.vms),
		state.isWatcher ? 'yes' : 'no',
		state.messagesOutPerSecond.toFixed(2),
		state.bytesOutPerSecond.toFixed(0),
		state.messagesInPerSecond.toFixed(2),
		state.bytesInPerSecond.toFixed(0),
		state.engineCoreShare.toFixed(5),
		state.codecCoreShare.toFixed(5),
		state.storeCallsPerSecond.toFixed(3),
		String(state.membersBehind),
	]));
}

async function main(options: Options): Promise<void> {
	const hashes = await loadHashes();
	const sizes = options.vms.split(',').map(Number);
	const vmSlopes = slopesAgainstVms(sizes, options.seconds, hashes.hash32);
	console.log(`${stateTable(vmSlopes.steadyStates)}\n`);
	const slopes = [
		...vmSlopes.slopes,
		slopeOfChanges(fleetSizes, hashes.hash32),
		...slopesAgainstResources(resourceSizes, hashes.hash32),
		...slopesOfState(resourceSizes),
		slopeOfActiveServices(serviceSizes),
		slopeOfDecisions(candidateCounts),
	];
	console.log(slopeTable(slopes));
	const transport = await measureTransport() ?? {overheadBytesPerMessage: 0, processorMicrosecondsPerMessage: 0};
	console.log(`\ngRPC adds ${transport.overheadBytesPerMessage.toFixed(0)} bytes to a message and ${transport.processorMicrosecondsPerMessage.toFixed(0)} µs of processor time at each end`);
	const results: CapacityResults = {
		command: `node --import=tsx benchmark/capacity/main.ts --vms ${options.vms} --seconds ${options.seconds}`,
		node: process.version,
		slopes,
		steadyStates: vmSlopes.steadyStates,
		transport,
	};
	if (options.json !== undefined) {
		writeFileSync(options.json, `${JSON.stringify(results, undefined, '\t')}\n`);
	}
}

sade('capacity', true)
	.option('--json', 'File for the results')
	.option('--seconds', 'Virtual seconds of each steady state', 30)
	.option('--vms', 'Numbers of VMs', '16,150,600,1400')
	.example('--json docs/results/capacity.json')
	.action(main)
	.parse(process.argv);
