/**
 * Messages between the VMs of a fleet while backend servers announce rate limits, in virtual time without sockets.
 * `node --import=tsx benchmark/capacity/announced-limit-cost.ts`
 */
import {type Instant} from '../../src/common/model/units.ts';
import {NamedLimitModel} from '../../src/common/registry/named-limits-harness.test.ts';
import {textTable} from '../../src/stand-ins/text-table.ts';

const cases = [[16, 1], [126, 1], [126, 10], [311, 1], [311, 10]] as const;
const callsPerSecond = 300;
const serverCount = 24;
const limit = 2;
const seed = 9101;

/** The limits begin at the first instant; the fleet counts as steady between the last two. */
const [limitFrom, knownFrom, steadyFrom, steadyUntil] = [3000, 4000, 5000, 15_000];

type Counts = {readonly messages: number; readonly bytes: number; readonly datagrams: number};

function play(vmCount: number, limitedCount: number): Map<Instant, Counts> {
	const model = new NamedLimitModel({
		vmCount, serverCount, callsPerSecond, seed, limitOf: (server, at) => server < limitedCount && at > limitFrom ? limit : undefined,
	});
	const {fleet} = model;
	const counts = new Map<Instant, Counts>();
	for (const at of [limitFrom, knownFrom, steadyFrom, steadyUntil]) {
		fleet.timeline.after(at, () => {
			counts.set(at, {messages: fleet.updateMessages, bytes: fleet.updateBytes, datagrams: fleet.datagrams});
		});
	}

	model.run(steadyUntil + 1000);
	return counts;
}

const rows = cases.map(([vmCount, limitedCount]) => {
	const counts = play(vmCount, limitedCount);
	const perSecond = (field: keyof Counts, from: Instant, until: Instant) => ((counts.get(until)![field] - counts.get(from)![field]) * 1000 / (until - from)).toFixed(0);
	return [
		String(vmCount),
		String(limitedCount),
		perSecond('messages', limitFrom, knownFrom),
		perSecond('bytes', limitFrom, knownFrom),
		perSecond('messages', steadyFrom, steadyUntil),
		perSecond('bytes', steadyFrom, steadyUntil),
		perSecond('datagrams', steadyFrom, steadyUntil),
	];
});
console.log(textTable(['VMs', 'limited', 'messages in the first second', 'bytes', 'messages/s afterwards', 'bytes/s', 'datagrams/s'], rows));
