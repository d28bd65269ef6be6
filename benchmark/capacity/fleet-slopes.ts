/** Slopes of the fleet engine's costs against the number of VMs and of declared resources. */
import {type HashFunction} from '../../src/common/fleet/types.ts';
import {FleetSimulation} from './fleet-simulation.ts';
import {retainedBytes} from './heap.ts';
import {ObservedVm} from './observed-vm.ts';
import {storedResources, target} from './sizes.ts';
import {fitSlope} from './slope.ts';
import {type Point, type Slope, type SteadyState} from './types.ts';

const addressRequests = 2000;
const measuredChanges = 20;
const simulatedChanges = 3;

function makeVm(vms: number, services: number, backendServers: number, isWatcher: boolean, hash: HashFunction): ObservedVm {
	return new ObservedVm({
		vms, resources: storedResources(services, backendServers), isWatcher, hash,
	});
}

/** Slopes against the number of VMs, with today's number of resources (6 services, 72 backend servers). */
export function slopesAgainstVms(sizes: readonly number[], seconds: number, hash: HashFunction): {slopes: Slope[]; steadyStates: SteadyState[]} {
	const steadyStates: SteadyState[] = [];
	const heapBytes: Point[] = [];
	const addressMicroseconds: Point[] = [];
	// Warm-up run for the JIT compiler and one-time initialisation of libraries.
	makeVm(sizes[0]!, 6, 72, false, hash).run(seconds);
	for (const vms of sizes) {
		const {made, bytes} = retainedBytes(() => makeVm(vms, 6, 72, false, hash).engine);
		heapBytes.push({size: vms, value: bytes});
		made.history(1);
		const vm = makeVm(vms, 6, 72, false, hash);
		steadyStates.push(vm.run(seconds));
		addressMicroseconds.push({size: vms, value: vm.addressMicroseconds(addressRequests)});
		steadyStates.push(makeVm(vms, 6, 72, true, hash).run(seconds));
	}

	const nonWatchers = steadyStates.filter(({isWatcher}) => !isWatcher);
	const pointsOf = (read: (state: SteadyState) => number): Point[] => nonWatchers.map(state => ({size: state.vms, value: read(state)}));
	return {
		steadyStates,
		slopes: [
			fitSlope({name: 'membership.bytes', against: 'VMs', unit: 'bytes'}, heapBytes),
			fitSlope({name: 'membership.engineCoreShare', against: 'VMs', unit: 'cores'}, pointsOf(state => state.engineCoreShare)),
			fitSlope({name: 'membership.codecCoreShare', against: 'VMs', unit: 'cores'}, pointsOf(state => state.codecCoreShare)),
			fitSlope({name: 'membership.bytesOutPerSecond', against: 'VMs', unit: 'bytes/s'}, pointsOf(state => state.bytesOutPerSecond)),
			fitSlope({name: 'membership.bytesInPerSecond', against: 'VMs', unit: 'bytes/s'}, pointsOf(state => state.bytesInPerSecond)),
			fitSlope({name: 'membership.messagesOutPerSecond', against: 'VMs', unit: 'messages/s'}, pointsOf(state => state.messagesOutPerSecond)),
			fitSlope({name: 'platform.callsPerSecondOfAVm', against: 'VMs', unit: 'calls/s'}, pointsOf(state => state.storeCallsPerSecond)),
			fitSlope({name: 'addresses.microseconds', against: 'VMs', unit: 'µs'}, addressMicroseconds),
		],
	};
}

/** Time until a change is in force on every VM, in complete fleets. Gossip rounds grow with the logarithm of the number of VMs. */
export function slopeOfChanges(fleetSizes: readonly number[], hash: HashFunction): Slope {
	const points = fleetSizes.map((vms): Point => ({size: Math.log2(vms), value: new FleetSimulation(vms, hash).changeMilliseconds(simulatedChanges)}));
	return fitSlope({name: 'configuration.inForceMilliseconds', against: 'log2(VMs)', unit: 'ms'}, points);
}

/** Slopes against the number of backend servers, with 17 backend servers per service as in the target, and 16 VMs. */
export function slopesAgainstResources(sizes: readonly number[], hash: HashFunction): Slope[] {
	const heapBytes: Point[] = [];
	const changeMilliseconds: Point[] = [];
	const snapshotBytes: Point[] = [];
	for (const backendServers of sizes) {
		const services = Math.max(1, Math.round(backendServers * target.services / target.backendServers));
		const resources = storedResources(services, backendServers);
		snapshotBytes.push({size: backendServers, value: resources.reduce((sum, resource) => sum + JSON.stringify(resource).length, 0)});
		const {made, bytes} = retainedBytes(() => {
			const vm = makeVm(16, services, backendServers, false, hash);
			vm.run(1);
			return vm.engine;
		});
		heapBytes.push({size: backendServers, value: bytes});
		changeMilliseconds.push({size: backendServers, value: makeVm(16, services, backendServers, false, hash).changeMilliseconds(measuredChanges)});
		made.resources();
	}

	return [
		fitSlope({name: 'configuration.bytes', against: 'backend servers', unit: 'bytes'}, heapBytes),
		fitSlope({name: 'configuration.snapshotBytes', against: 'backend servers', unit: 'bytes'}, snapshotBytes),
		fitSlope({name: 'configuration.changeMilliseconds', against: 'backend servers', unit: 'ms'}, changeMilliseconds),
	];
}
