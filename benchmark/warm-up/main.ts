/** `npm run bench -- warm-up [--seeds N]`: ways to share the rate of cold backend servers, in fleets of several sizes. */
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

/** Calls a second that a cold backend server declares to bear, times the tolerance of the platform's rules. */
const rate = 4.1 * 1.5;

const fleets: ReadonlyArray<readonly [vms: number, servers: number]> = [[16, 45], [134, 258], [311, 504]];
const disturbances: Readonly<Record<string, Disturbance>> = {
	calm: {halfSighted: 0, started: 0},
	disturbed: {halfSighted: 0.2, started: 0.1},
};

const ways: Readonly<Record<string, (random: RandomSource, serverCount: number) => WarmUpAdmission>> = {
	unlimited: () => new UnlimitedAdmission(),
	even: random => new EvenAdmission(rate, random),
	owners: () => new OwnerAdmission(rate, hash32),
	thinned: (random, serverCount) => new ThinnedAdmission(rate, random, serverCount),
};

console.log(['vms', 'disturbance', 'way', 'worst second', 'mean rate', 'refused'].map(column => column.padStart(13)).join(''));
for (const [vms, servers] of fleets) {
	for (const [name, disturbance] of Object.entries(disturbances)) {
		for (const [way, admissionOf] of Object.entries(ways)) {
			const runs = Array.from({length: Number(values.seeds)}, (_, seed) => new WarmUpRun(vms, servers, seed + 1, random => admissionOf(random, servers)).run(disturbance));
			const mean = (column: 'meanRate' | 'refused') => runs.reduce((sum, run) => sum + run[column], 0) / runs.length;
			const figures = [String(Math.max(...runs.map(run => run.worstSecond))), mean('meanRate').toFixed(2), mean('refused').toFixed(4)];
			process.stdout.write(`${[String(vms), name, way, ...figures].map(cell => cell.padStart(13)).join('')}\n`);
		}
	}
}
