/** Slopes of what VMs do together: against VMs and against declared resources. */
import {type HashFunction} from '../../src/common/fleet/types.ts';
import {FleetSimulation} from './fleet-simulation.ts';
import {heldBytes} from './heap.ts';
import {ObservedVm} from './observed-vm.ts';
import {storedResources, target} from './sizes.ts';
import {fitSlope} from './slope.ts';
import {type Point, type Slope, type SteadyState} from './types.ts';

const addressAnswers = 2000;
const measuredChanges = 20;
const simulatedChanges = 3;

function vmOf(vms: number, services: number, backendServers: number, isWatcher: boolean, hash: HashFunction): ObservedVm {
	return new ObservedVm({
		vms, resources: storedResources(services, backendServers), isWatcher, hash,
	});
}

/** Against the number of VMs, at today's number of resources. */
export function slopesAgainstVms(sizes: readonly number[], seconds: number, hash: HashFunction): {slopes: Slope[]; steadyStates: SteadyState[]} {
	const steadyStates: SteadyState[] = [];
	const memory: Point[] = [];
	const address: Point[] = [];
	// The first is for the compiler and for what libraries set up once.
	vmOf(sizes[0]!, 6, 72, false, hash).run(seconds);
	for (const vms of sizes) {
		const {made, bytes} = heldBytes(() => vmOf(vms, 6, 72, false, hash).engine);
		memory.push({size: vms, value: bytes});
		made.history(1);
		const vm = vmOf(vms, 6, 72, false, hash);
		steadyStates.push(vm.run(seconds));
		address.push({size: vms, value: vm.addressMicroseconds(addressAnswers)});
		steadyStates.push(vmOf(vms, 6, 72, true, hash).run(seconds));
	}

	const others = steadyStates.filter(({isWatcher}) => !isWatcher);
	const pick = (read: (state: SteadyState) => number): Point[] => others.map(state => ({size: state.vms, value: read(state)}));
	return {
		steadyStates,
		slopes: [
			fitSlope({name: 'membership.bytes', against: 'VMs', unit: 'bytes'}, memory),
			fitSlope({name: 'membership.engineCoreShare', against: 'VMs', unit: 'cores'}, pick(state => state.engineCoreShare)),
			fitSlope({name: 'membership.codecCoreShare', against: 'VMs', unit: 'cores'}, pick(state => state.codecCoreShare)),
			fitSlope({name: 'membership.bytesOutPerSecond', against: 'VMs', unit: 'bytes/s'}, pick(state => state.bytesOutPerSecond)),
			fitSlope({name: 'membership.bytesInPerSecond', against: 'VMs', unit: 'bytes/s'}, pick(state => state.bytesInPerSecond)),
			fitSlope({name: 'membership.messagesOutPerSecond', against: 'VMs', unit: 'messages/s'}, pick(state => state.messagesOutPerSecond)),
			fitSlope({name: 'platform.callsPerSecondOfAVm', against: 'VMs', unit: 'calls/s'}, pick(state => state.storeCallsPerSecond)),
			fitSlope({name: 'addresses.microseconds', against: 'VMs', unit: 'µs'}, address),
		],
	};
}

/** Time until a change is in force on every VM, in whole fleets of engines; gossip takes rounds, hence the logarithm. */
export function slopeOfChanges(fleetSizes: readonly number[], hash: HashFunction): Slope {
	const points = fleetSizes.map((vms): Point => ({size: Math.log2(vms), value: new FleetSimulation(vms, hash).changeMilliseconds(simulatedChanges)}));
	return fitSlope({name: 'configuration.inForceMilliseconds', against: 'log2(VMs)', unit: 'ms'}, points);
}

/** Against the number of backend servers, in the proportion of the target (17 a service), among 16 VMs. */
export function slopesAgainstResources(sizes: readonly number[], hash: HashFunction): Slope[] {
	const memory: Point[] = [];
	const change: Point[] = [];
	const snapshot: Point[] = [];
	for (const backendServers of sizes) {
		const services = Math.max(1, Math.round(backendServers * target.services / target.backendServers));
		const resources = storedResources(services, backendServers);
		snapshot.push({size: backendServers, value: resources.reduce((sum, resource) => sum + JSON.stringify(resource).length, 0)});
		const {made, bytes} = heldBytes(() => {
			const vm = vmOf(16, services, backendServers, false, hash);
			vm.run(1);
			return vm.engine;
		});
		memory.push({size: backendServers, value: bytes});
		change.push({size: backendServers, value: vmOf(16, services, backendServers, false, hash).changeMilliseconds(measuredChanges)});
		made.resources();
	}

	return [
		fitSlope({name: 'configuration.bytes', against: 'backend servers', unit: 'bytes'}, memory),
		fitSlope({name: 'configuration.snapshotBytes', against: 'backend servers', unit: 'bytes'}, snapshot),
		fitSlope({name: 'configuration.changeMilliseconds', against: 'backend servers', unit: 'ms'}, change),
	];
}
