/** Benchmark `control`: measures on real daemons how long changes and leaving signs take, what control costs at rest, and how the cost grows. */
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import sade from 'sade';
import {standInClient} from '../../src/stand-ins/stand-in-client.ts';
import {ControlFleet} from './control-fleet.ts';
import {
	backendServer, type Cost, costAtRest, service, type Spread, timeToForce, timeToLastCall,
} from './scenarios.ts';

type Options = {readonly vms: string | number; readonly resources: string | number; readonly json?: string};

/** Figures for one number of VMs. */
type SizeFigures = {
	readonly vms: number;
	readonly atRest: Cost;
	readonly inForceCalm: Spread;
	readonly inForceStoreOut: Spread;
	readonly inForceReplaced: Spread;
	readonly leaving: Spread;
};

/** Figures for one number of resources, on 3 VMs. */
type ResourceFigures = {readonly resources: number; readonly atRest: Cost; readonly inForce: Spread};

const backendServers = 6;
const calmRuns = 30;
const outageRuns = 8;
const replacedRuns = 2;
const leavingRuns = 5;
const idleSeconds = 8;
const maxResourcesPerChange = 1000;

/** Time after which the fleet counts as at rest: gossip about the last change and about new VMs takes some seconds. */
const settleMilliseconds = 8000;

function log(message: string): void {
	process.stderr.write(`${message}\n`);
}

async function measureSize(vms: number): Promise<SizeFigures | undefined> {
	const fleet = new ControlFleet();
	try {
		log(`${vms} VMs: starting`);
		const isUp = await fleet.start(vms, backendServers);
		const declared = await fleet.change(fleet.vms[0]!, [service('reads'), ...fleet.backendPorts.map((port, index) => backendServer(`server-${index}`, port))]);
		if (!isUp || !declared || !await fleet.waitInForce(declared.version)) {
			log(`${vms} VMs: fleet not set up in time`);
			return undefined;
		}

		await delay(settleMilliseconds);
		const atRest = await costAtRest(fleet, idleSeconds);
		log(`${vms} VMs at rest: ${JSON.stringify(atRest)}`);
		const noAction = async (): Promise<void> => undefined;
		const inForceCalm = await timeToForce(fleet, calmRuns, noAction, noAction);
		log(`${vms} VMs calm: ${JSON.stringify(inForceCalm)}`);
		const inForceStoreOut = await timeToForce(fleet, outageRuns, async () => standInClient.setFaults(fleet.platformPort, {mode: 'down'}), async () => {
			await standInClient.setFaults(fleet.platformPort, {mode: 'up'});
			await delay(2500);
		});
		log(`${vms} VMs during store outage: ${JSON.stringify(inForceStoreOut)}`);
		const leaving = await timeToLastCall(fleet, leavingRuns);
		log(`${vms} VMs leaving: ${JSON.stringify(leaving)}`);
		const inForceReplaced = await timeToForce(fleet, replacedRuns, async () => {
			await fleet.startVm();
			fleet.running()[0]!.program.signal('SIGTERM');
		}, async () => delay(6000));
		log(`${vms} VMs with one replaced: ${JSON.stringify(inForceReplaced)}`);
		return {
			vms, atRest, inForceCalm, inForceStoreOut, inForceReplaced, leaving,
		};
	} finally {
		fleet.dispose();
	}
}

/** Declares resources in steps. Their addresses are never called, since there are neither load probes nor callers. */
async function measureResources(sizes: readonly number[]): Promise<ResourceFigures[]> {
	const fleet = new ControlFleet();
	const figures: ResourceFigures[] = [];
	try {
		await fleet.start(3, 1);
		await fleet.change(fleet.vms[0]!, [service('reads')]);
		let declared = 1;
		for (const size of sizes) {
			let version = 0;
			while (declared < size) {
				const count = Math.min(maxResourcesPerChange, size - declared);
				const first = declared;
				const accepted = await fleet.change(fleet.vms[0]!, Array.from({length: count}, (_, index) => backendServer(`server-${first + index}`, 1)));
				version = accepted?.version ?? version;
				declared += count;
			}

			await fleet.waitInForce(version);
			await delay(settleMilliseconds);
			const atRest = await costAtRest(fleet, idleSeconds);
			const noAction = async (): Promise<void> => undefined;
			const inForce = await timeToForce(fleet, 10, noAction, noAction);
			log(`${size} resources: ${JSON.stringify({atRest, inForce})}`);
			figures.push({resources: size, atRest, inForce});
		}
	} finally {
		fleet.dispose();
	}

	return figures;
}

/** Slope by least squares: the cost of one more VM or resource. */
function slope(points: ReadonlyArray<readonly [number, number]>): number {
	const n = points.length;
	const meanX = points.reduce((sum, [x]) => sum + x, 0) / n;
	const meanY = points.reduce((sum, [, y]) => sum + y, 0) / n;
	const covariance = points.reduce((sum, [x, y]) => sum + ((x - meanX) * (y - meanY)), 0);
	const variance = points.reduce((sum, [x]) => sum + ((x - meanX) ** 2), 0);
	return covariance / variance;
}

function slopes<T extends {readonly atRest: Cost}>(figures: readonly T[], size: (item: T) => number): Record<keyof Cost, number> | undefined {
	if (figures.length < 2) {
		return undefined;
	}

	const slopeOf = (name: keyof Cost): number => Number(slope(figures.map(item => [size(item), item.atRest[name]] as const)).toPrecision(3));
	return {
		bytesOutPerSecond: slopeOf('bytesOutPerSecond'),
		messagesOutPerSecond: slopeOf('messagesOutPerSecond'),
		processorPercent: slopeOf('processorPercent'),
		memoryMegabytes: slopeOf('memoryMegabytes'),
		storeCallsPerSecond: slopeOf('storeCallsPerSecond'),
	};
}

function numbers(list: string | number): number[] {
	return String(list).split(',').map(Number).filter(number => number > 0);
}

async function run(options: Options): Promise<void> {
	const sizes: SizeFigures[] = [];
	for (const vms of numbers(options.vms)) {
		const figures = await measureSize(vms);
		if (figures) {
			sizes.push(figures);
		}
	}

	const resources = numbers(options.resources).length > 0 ? await measureResources(numbers(options.resources)) : [];
	const result = {
		command: `npm run bench -- control ${process.argv.slice(2).join(' ')}`,
		vms: sizes,
		resources,
		slopePerVm: slopes(sizes, item => item.vms),
		slopePerResource: slopes(resources, item => item.resources),
	};
	console.log(JSON.stringify(result, undefined, '\t'));
	if (options.json !== undefined) {
		writeFileSync(options.json, `${JSON.stringify(result, undefined, '\t')}\n`);
	}
}

sade('control', true)
	.option('--vms', 'Sizes of fleet, such as 3,8,16; 0 = none', '3,8,16')
	.option('--resources', 'Numbers of resources on 3 VMs, such as 100,1000,5000; 0 = none', '0')
	.option('--json', 'File to write the figures to')
	.action(async (options: Options) => {
		await run(options);
	})
	.parse(process.argv);
