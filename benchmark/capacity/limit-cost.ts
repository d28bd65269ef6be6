/**
 * Cost of the rate limits of organisations: messages and bytes between VMs, and memory, against the number of VMs. 83
 * organisations send 627 calls per second in total, spread over all VMs, in virtual time without sockets.
 * `node --import=tsx benchmark/capacity/limit-cost.ts`
 */
import process from 'node:process';
import {LimitsFleet, usualLimits, usualRates} from '../../src/common/limits/limits-fleet.test.ts';
import {textTable} from '../../src/stand-ins/text-table.ts';
import {retainedBytes} from './heap.ts';

const sizes = [16, 134, 311];
const seconds = 20;
const seed = 1;

/** Bytes of the IP and UDP heads of a datagram. */
const headBytes = 28;

function play(vms: number): LimitsFleet {
	const fleet = new LimitsFleet(vms, usualLimits, seed);
	for (const [organisation, rate] of usualRates) {
		fleet.load(organisation, rate, seconds * 1000, () => fleet.anyVm());
	}

	fleet.runUntil((seconds * 1000) + 500);
	return fleet;
}

const rows = sizes.map(vms => {
	const before = process.cpuUsage();
	const fleet = play(vms);
	const {user} = process.cpuUsage(before);
	const calls = fleet.results.length;
	const {bytes} = retainedBytes(() => {
		const kept = play(vms);
		kept.results.length = 0;
		return kept;
	});
	return [
		String(vms),
		String(calls),
		(fleet.messages / calls).toFixed(2),
		(fleet.messagesBetweenDataCentres / calls).toFixed(2),
		((fleet.bytes + (fleet.messages * headBytes)) / calls).toFixed(0),
		(fleet.messages / seconds / vms).toFixed(1),
		(bytes / vms / 1000).toFixed(1),
		(user / calls).toFixed(0),
		fleet.servedBelowLimit(3000, new Set(usualRates.keys())).toFixed(4),
	];
});
console.log(textTable(['VMs', 'calls', 'messages/call', 'between data centres', 'bytes/call', 'messages/s of a VM', 'kB of a VM', 'µs/call, model included', 'served from 3 s'], rows));
