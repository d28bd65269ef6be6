/** `npm run bench -- warm-up [--seeds N]`: strategies to divide the rate limit of cold backend servers, in fleets of several sizes. */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {type RandomSource} from '../../src/common/model/units.ts';
import {loadHashes} from '../../src/daemon/identity.ts';
import {
	EvenAdmission, OwnerAdmission, ThinnedAdmission, UnlimitedAdmission, type WarmUpAdmission,
} from './admissions.ts';
import {type Disturbance, WarmUpRun} from './warm-up-run.ts';

const {hash32} = await loadHashes();
const {values} = parseArgs({options: {seeds: {type: 'string', default: '20'}}});

/** Rate limit of a cold backend server: the 4.1 calls per second that it declares, times the tolerance of the platform's rules. */
const attemptsPerSecond = 4.1 * 1.5;

const fleets: ReadonlyArray<readonly [vms: number, servers: number]> = [[16, 45], [134, 258], [311, 504]];
const disturbances: Readonly<Record<string, Disturbance>> = {
	calm: {partialViewFraction: 0, lateStartFraction: 0},
	disturbed: {partialViewFraction: 0.2, lateStartFraction: 0.1},
};

const strategies: Readonly<Record<string, (random: RandomSource, serverCount: number) => WarmUpAdmission>> = {
	unlimited: () => new UnlimitedAdmission(),
	even: random => new EvenAdmission(attemptsPerSecond, random),
	owners: () => new OwnerAdmission(attemptsPerSecond, hash32),
	thinned: (random, serverCount) => new ThinnedAdmission(attemptsPerSecond, random, serverCount),
};

console.log(['vms', 'disturbance', 'strategy', 'max/second', 'mean rate', 'refused'].map(column => column.padStart(13)).join(''));
for (const [vms, servers] of fleets) {
	for (const [name, disturbance] of Object.entries(disturbances)) {
		for (const [strategy, makeAdmission] of Object.entries(strategies)) {
			const runs = Array.from({length: Number(values.seeds)}, (_, seed) => new WarmUpRun(vms, servers, seed + 1, random => makeAdmission(random, servers)).run(disturbance));
			const mean = (column: 'meanRate' | 'refused') => runs.reduce((sum, run) => sum + run[column], 0) / runs.length;
			const figures = [String(Math.max(...runs.map(run => run.peakAttemptsInSecond))), mean('meanRate').toFixed(2), mean('refused').toFixed(4)];
			process.stdout.write(`${[String(vms), name, strategy, ...figures].map(cell => cell.padStart(13)).join('')}\n`);
		}
	}
}
